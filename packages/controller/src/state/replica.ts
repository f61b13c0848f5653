/**
 * The copy of the state service's keys that a controller decides by. It owns the entries, the revision up to which they are
 * complete, and the tombstones of keys that were removed ahead of that revision.
 */
import type { KeyChange, StoredKey } from '@archpost/protocol';

/** A key's value, and the revision at which it was last set. */
export interface ReplicaEntry {
  value: unknown;
  revision: number;
}

/** `entry`: null when the key was removed. */
type ChangeListener = (key: string, entry: ReplicaEntry | null) => void;

type ListenerErrorHandler = (key: string, error: unknown) => void;

/**
 * Holds the newest known entry of each key and notifies a listener of each change. A change may arrive twice and from two
 * sources at once (the watch, and our own transactions or a barrier read), so each key keeps the revision at which it was
 * last set or removed, and takes only newer changes.
 */
export class Replica {
  /** every change up to this revision has been applied */
  revision = 0;
  /** the first full read is complete */
  loaded = false;
  private readonly entries = new Map<string, ReplicaEntry>();
  /** revisions of removals newer than `revision`: an older set of the key that arrives later must not bring it back */
  private readonly tombstones = new Map<string, number>();

  /** `onListenerError`: `onChange` threw; the change itself stays applied. */
  constructor(
    private readonly onChange: ChangeListener,
    private readonly onListenerError: ListenerErrorHandler,
  ) {}

  /** The key's entry; null if the key doesn't exist. */
  get(key: string): ReplicaEntry | null {
    return this.entries.get(key) ?? null;
  }

  /** All keys that exist. */
  keys(): IterableIterator<string> {
    return this.entries.keys();
  }

  /** Sets a key, unless something as new or newer is known of it. */
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
   * Replaces everything by a full read (at the start, or after the service compacted the changes that we need).
   * `revision` is that of the first page; what changed during the read is applied afterwards by `apply`.
   */
  reset(rows: StoredKey[], revision: number): void {
    const presentKeys = new Set(rows.map((row) => row.key));
    for (const row of rows) this.set(row.key, row.value, row.revision);
    for (const [key, entry] of [...this.entries])
      if (!presentKeys.has(key) && entry.revision <= revision) this.remove(key, revision);
    this.advanceTo(revision);
    this.loaded = true;
  }

  private advanceTo(revision: number): void {
    if (revision > this.revision) this.revision = revision;
  }

  /** An error of the listener must not keep the other changes of a response from being applied: each arrives only once. */
  private notify(key: string, entry: ReplicaEntry | null): void {
    try {
      this.onChange(key, entry);
    } catch (error) {
      this.onListenerError(key, error);
    }
  }
}
