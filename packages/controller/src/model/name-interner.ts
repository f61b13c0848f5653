/** Names are dense indices inside the core: decisions compare and count them all the time. */

/** Hands out dense indices for names; index 0 is the first name seen. */
export class NameInterner {
  private readonly byName = new Map<string, number>();
  private readonly names: string[] = [];

  intern(name: string): number {
    let i = this.byName.get(name);
    if (i === undefined) {
      i = this.names.length;
      this.names.push(name);
      this.byName.set(name, i);
    }
    return i;
  }

  indexOf(name: string): number {
    return this.byName.get(name) ?? -1;
  }

  nameOf(i: number): string {
    return this.names[i] ?? '';
  }

  get size(): number {
    return this.names.length;
  }
}
