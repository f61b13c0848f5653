import v8 from 'node:v8';
import { Worker } from 'node:worker_threads';

/** Runs the program again in a thread with such a heap; the process ends as that thread does. */
export function runInThread(program: string, oldGenerationMb: number): void {
  // The flag counts for heaps that begin after it; a thread's own limits give way to it.
  v8.setFlagsFromString(`--max-old-space-size=${oldGenerationMb}`);
  const thread = new Worker(program, { argv: process.argv.slice(2) });
  thread.on('error', (error) => {
    process.stderr.write(`archpost: ${error.message}\n`);
    process.exit(1);
  });
  thread.on('exit', (code) => process.exit(code));
}
