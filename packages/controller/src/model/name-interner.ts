/** Names are dense indices inside the core: decisions compare and count them all the time. */

/** Hands out dense indices for names; index 0 is the first name seen. */
export class NameInterner {
  private readonly byName = new Map<string, number>();
  private readonly names: string[] = [];

  intern(name: string): number {
    let index = this.byName.get(name);
    if (index === undefined) {
      index = this.names.length;
      this.names.push(name);
      this.byName.set(name, index);
    }
    return index;
  }

  indexOf(name: string): number {
    return this.byName.get(name) ?? -1;
  }

  nameOf(index: number): string {
    return this.names[index] ?? '';
  }

  get size(): number {
    return this.names.length;
  }
}
