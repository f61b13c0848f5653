/**
 * Dense indices for names. Decisions compare and count machine types, zones, images and teams often; indices make that cheap.
 * Names are converted to indices where records are read, and back where data is stored, sent or logged.
 */

/** The index of a name that was never interned. */
export const UNKNOWN_NAME = -1;

/** Assigns dense indices to names, in the order in which they are interned, starting with 0. */
export class NameInterner {
  private readonly byName = new Map<string, number>();
  private readonly names: string[] = [];

  /** Returns the name's index, and assigns one if the name has none. */
  intern(name: string): number {
    let index = this.byName.get(name);
    if (index === undefined) {
      index = this.names.length;
      this.names.push(name);
      this.byName.set(name, index);
    }
    return index;
  }

  /** Returns the name's index; `UNKNOWN_NAME` if it has none. */
  indexOf(name: string): number {
    return this.byName.get(name) ?? UNKNOWN_NAME;
  }

  /** Returns the name with this index; the empty string if there is none. */
  nameOf(index: number): string {
    return this.names[index] ?? '';
  }

  /** The number of interned names. */
  get size(): number {
    return this.names.length;
  }
}
