/** Pseudo-random numbers, the same for the same seed. */

/** A generator of pseudo-random numbers. */
export class Random {
  private state: number;

  constructor(seed: number) {
    this.state = seed >>> 0;
  }

  /** From 0 to 1. */
  next(): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(this.state ^ (this.state >>> 15), 1 | this.state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  }

  /** A whole number below `limit`. */
  below(limit: number): number {
    return Math.floor(this.next() * limit);
  }

  isUnder(probability: number): boolean {
    return this.next() < probability;
  }

  pick<T>(list: readonly T[]): T {
    return list[this.below(list.length)] as T;
  }
}
