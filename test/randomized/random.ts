/** Reproducible pseudo-random numbers. */

/** A pseudo-random number generator; the same seed yields the same numbers. */
export class Random {
  private state: number;

  constructor(seed: number) {
    this.state = seed >>> 0;
  }

  /** Returns a number in [0, 1). */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }

  /** Returns an integer in [0, `limit`). */
  below(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  /** Returns true with the given probability. */
  isUnder(probability: number): boolean {
    return this.next() < probability;
  }

  /** Returns a random element of the list. */
  pick<T>(list: readonly T[]): T {
    return list[this.below(list.length)] as T;
  }
}
