import type { Change, Row } from '@archpost/protocol';

export interface Entry {
  value: unknown;
  stamp: number;
}
type Listener = (key: string, entry: Entry | null) => void;
type FailureListener = (key: string, error: unknown) => void;

/**
 * A copy of the state service's keys. Changes may come twice and from two readers at once
 * (the watch and the barrier), so each key remembers the stamp that it was last set or
 * removed at and takes only newer ones.
 */
export class Replica {
  private readonly entries = new Map<string, Entry>();
  private readonly tombs = new Map<string, number>();
  /** every change up to here is in */
  revision = 0;
  loaded = false;

  constructor(
    private readonly listener: Listener,
    private readonly failed: FailureListener,
  ) {}

  get(key: string): Entry | null {
    return this.entries.get(key) ?? null;
  }

  keys(): IterableIterator<string> {
    return this.entries.keys();
  }

  set(key: string, value: unknown, stamp: number): void {
    const old = this.entries.get(key);
    if ((old && old.stamp >= stamp) || (this.tombs.get(key) ?? 0) >= stamp) return;
    const entry = { value, stamp };
    this.entries.set(key, entry);
    this.tombs.delete(key);
    this.tell(key, entry);
  }

  remove(key: string, stamp: number): void {
    const old = this.entries.get(key);
    if (old && old.stamp > stamp) return;
    if (stamp > this.revision) this.tombs.set(key, stamp);
    if (!old) return;
    this.entries.delete(key);
    this.tell(key, null);
  }

  /** What can't be made of one change must not keep those that come with it from being taken: they come once. */
  private tell(key: string, entry: Entry | null): void {
    try {
      this.listener(key, entry);
    } catch (error) {
      this.failed(key, error);
    }
  }

  apply(changes: Change[], revision: number): void {
    for (const c of changes) {
      if (c.stamp <= this.revision) continue;
      if (c.value === undefined) this.remove(c.key, c.stamp);
      else this.set(c.key, c.value, c.stamp);
    }
    if (revision > this.revision) this.revision = revision;
    for (const [k, s] of this.tombs) if (s <= this.revision) this.tombs.delete(k);
  }

  /**
   * Everything read anew (at the start, or after the service forgot the changes we need).
   * `revision` is that of the first page; what changed while reading comes by `apply`.
   */
  reset(rows: Row[], revision: number): void {
    const seen = new Set(rows.map((r) => r.key));
    for (const r of rows) this.set(r.key, r.value, r.stamp);
    for (const [k, e] of [...this.entries]) if (!seen.has(k) && e.stamp <= revision) this.remove(k, revision);
    if (revision > this.revision) this.revision = revision;
    this.loaded = true;
  }
}
