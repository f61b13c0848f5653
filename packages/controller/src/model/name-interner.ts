/**
 * Dense indices for names. Decisions compare and count machine types, zones, images and teams all the time; indices make that
 * cheap. Names are turned into indices where records are read, and back where something is stored, sent or logged.
 */

/** The index of a name that was never interned. */
export const UNKNOWN_NAME = -1;

/** Hands out dense indices for names; index 0 is the first name seen. */
export class NameInterner {
  private readonly byName = new Map<string, number>();
  private readonly names: string[] = [];

  /** The name's index, a new one if it has none. */
  intern(name: string): number {
    let index = this.byName.get(name);
    if (index === undefined) {
      index = this.names.length;
      this.names.push(name);
      this.byName.set(name, index);
    }
    return index;
  }

  /** The name's index; `UNKNOWN_NAME` if it has none. */
  indexOf(name: string): number {
    return this.byName.get(name) ?? UNKNOWN_NAME;
  }

  /** The name with this index; empty if there is none. */
  nameOf(index: number): string {
    return this.names[index] ?? '';
  }

  /** How many names have an index. */
  get size(): number {
    return this.names.length;
  }
}
