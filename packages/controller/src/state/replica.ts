import type { KeyChange, StoredKey } from '@archpost/protocol';

export interface ReplicaEntry {
  value: unknown;
  revision: number;
}
type ChangeListener = (key: string, entry: ReplicaEntry | null) => void;
type FailureListener = (key: string, error: unknown) => void;

/**
 * A copy of the state service's keys. Changes may come twice and from two readers at once
 * (the watch and the barrier), so each key remembers the stamp that it was last set or
 * removed at and takes only newer ones.
 */
export class Replica {
  private readonly entries = new Map<string, ReplicaEntry>();
  private readonly tombstones = new Map<string, number>();
  /** every change up to here is in */
  revision = 0;
  loaded = false;

  constructor(
    private readonly onChange: ChangeListener,
    private readonly onListenerError: FailureListener,
  ) {}

  get(key: string): ReplicaEntry | null {
    return this.entries.get(key) ?? null;
  }

  keys(): IterableIterator<string> {
    return this.entries.keys();
  }

  set(key: string, value: unknown, revision: number): void {
    const old = this.entries.get(key);
    if ((old && old.revision >= revision) || (this.tombstones.get(key) ?? 0) >= revision) return;
    const entry = { value, revision };
    this.entries.set(key, entry);
    this.tombstones.delete(key);
    this.notify(key, entry);
  }

  remove(key: string, revision: number): void {
    const old = this.entries.get(key);
    if (old && old.revision > revision) return;
    if (revision > this.revision) this.tombstones.set(key, revision);
    if (!old) return;
    this.entries.delete(key);
    this.notify(key, null);
  }

  /** What can't be made of one change must not keep those that come with it from being taken: they come once. */
  private notify(key: string, entry: ReplicaEntry | null): void {
    try {
      this.onChange(key, entry);
    } catch (error) {
      this.onListenerError(key, error);
    }
  }

  apply(changes: KeyChange[], revision: number): void {
    for (const change of changes) {
      if (change.revision <= this.revision) continue;
      if (change.value === undefined) this.remove(change.key, change.revision);
      else this.set(change.key, change.value, change.revision);
    }
    if (revision > this.revision) this.revision = revision;
    for (const [key, revision] of this.tombstones) if (revision <= this.revision) this.tombstones.delete(key);
  }

  /**
   * Everything read anew (at the start, or after the service forgot the changes we need).
   * `revision` is that of the first page; what changed while reading comes by `apply`.
   */
  reset(rows: StoredKey[], revision: number): void {
    const seen = new Set(rows.map((row) => row.key));
    for (const row of rows) this.set(row.key, row.value, row.revision);
    for (const [key, entry] of [...this.entries]) if (!seen.has(key) && entry.revision <= revision) this.remove(key, revision);
    if (revision > this.revision) this.revision = revision;
    this.loaded = true;
  }
}
