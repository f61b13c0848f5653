/**
 * The copy of the state service's keys on which a controller bases its decisions. Owns the entries, the revision up to which
 * they are complete, and the tombstones of keys that were removed at a later revision.
 */
import type { KeyChange, StoredKey } from '@archpost/protocol';

/** A key's value, and the revision at which it was last set. */
export interface ReplicaEntry {
  value: unknown;
  revision: number;
}

/** `entry`: null if the key was removed. */
type ChangeListener = (key: string, entry: ReplicaEntry | null) => void;

type ListenerErrorHandler = (key: string, error: unknown) => void;

/**
 * Holds the newest known entry of each key and notifies a listener of each change. A change may arrive more than once and from
 * two sources concurrently (the watch, and this controller's own transactions or a barrier read), so each key keeps the
 * revision at which it was last set or removed and accepts only newer changes.
 */
export class Replica {
  /** every change up to this revision has been applied */
  revision = 0;
  /** whether the first full read is complete */
  isLoaded = false;
  private readonly entries = new Map<string, ReplicaEntry>();
  /** by key: revision of a removal newer than `revision`, so that an older set that arrives later doesn't restore the key */
  private readonly tombstones = new Map<string, number>();

  /** `onListenerError`: called if `onChange` throws; the change itself stays applied. */
  constructor(
    private readonly onChange: ChangeListener,
    private readonly onListenerError: ListenerErrorHandler,
  ) {}

  /** Returns the key's entry; null if the key doesn't exist. */
  get(key: string): ReplicaEntry | null {
    return this.entries.get(key) ?? null;
  }

  /** Returns all keys that exist. */
  keys(): IterableIterator<string> {
    return this.entries.keys();
  }

  /** Sets a key, unless it was set or removed at the same or a later revision. */
  set(key: string, value: unknown, revision: number): void {
    const current = this.entries.get(key);
    if (current && current.revision >= revision) return;
    if ((this.tombstones.get(key) ?? 0) >= revision) return;
    const entry = { value, revision };
    this.entries.set(key, entry);
    this.tombstones.delete(key);
    this.notify(key, entry);
  }

  /** Removes a key, unless it was set at a later revision. */
  remove(key: string, revision: number): void {
    const current = this.entries.get(key);
    if (current && current.revision > revision) return;
    if (revision > this.revision) this.tombstones.set(key, revision);
    if (!current) return;
    this.entries.delete(key);
    this.notify(key, null);
  }

  /** Applies the changes of one watch response, which is complete up to `revision`. */
  apply(changes: KeyChange[], revision: number): void {
    for (const change of changes) {
      if (change.revision <= this.revision) continue;
      if (change.value === undefined) this.remove(change.key, change.revision);
      else this.set(change.key, change.value, change.revision);
    }
    this.advanceTo(revision);
    for (const [key, removedAt] of this.tombstones) if (removedAt <= this.revision) this.tombstones.delete(key);
  }

  /**
   * Replaces all entries with a full read (at startup, or after the service compacted changes that weren't read yet).
   * `revision` is that of the first page. `apply` applies the changes that were made during the read afterwards.
   */
  reset(rows: StoredKey[], revision: number): void {
    const presentKeys = new Set(rows.map((row) => row.key));
    for (const row of rows) this.set(row.key, row.value, row.revision);
    for (const [key, entry] of [...this.entries])
      if (!presentKeys.has(key) && entry.revision <= revision) this.remove(key, revision);
    this.advanceTo(revision);
    this.isLoaded = true;
  }

  private advanceTo(revision: number): void {
    if (revision > this.revision) this.revision = revision;
  }

  /** Catches errors of the listener: the remaining changes of a response must still be applied, as each arrives only once. */
  private notify(key: string, entry: ReplicaEntry | null): void {
    try {
      this.onChange(key, entry);
    } catch (error) {
      this.onListenerError(key, error);
    }
  }
}
