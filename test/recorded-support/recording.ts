/** Collects what a simulated cluster stores or sends, for comparison with a recording. */
import { createHash } from 'node:crypto';

/** The first examples of each kind, and a digest over all texts in their order. */
export class Recording {
  private static readonly MAX_EXAMPLES = 3;
  readonly examples: Record<string, string[]> = {};
  private readonly digest = createHash('sha256');
  count = 0;

  add(kind: string, text: string): void {
    this.count++;
    this.digest.update(`${text}\n`);
    this.examples[kind] ??= [];
    const examples = this.examples[kind] as string[];
    if (examples.length < Recording.MAX_EXAMPLES) examples.push(text);
  }

  sha256(): string {
    return this.digest.digest('hex');
  }
}
