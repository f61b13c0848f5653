/**
 * A compare-and-swap transaction that is being assembled: which writes may be sent together, and their conditions. A batch
 * exists from the selection of its writes until it is sent.
 */
import type { KeyWrite, RevisionCondition } from '@archpost/protocol';
import type { Effect } from '../model/index.js';
import { type QueuedWrite, WritePriority } from './write-queue.js';

/** A batch accepts no more writes once it has reached this size. A single write may be larger. */
const MAX_TRANSACTION_BYTES = 40_000;

/** Maximum number of conditions in a transaction for each write that it may hold. The service accepts four. */
const CONDITIONS_PER_WRITE = 3;

/** The limits of a batch. */
export interface WriteBatchLimits {
  /** maximum number of writes that the service accepts in one transaction */
  writesPerTransaction: number;
  /** maximum number of writes in this batch, by the limit above and the current rate limit; may have a fraction */
  maxWrites: number;
  /** maximum number of acceptances of jobs among the writes */
  maxAcceptances: number;
}

/** Returns the conditions of a write: the revision of its own key, and the revisions of other keys that it depends on. */
function conditionsOf(write: QueuedWrite): RevisionCondition[] {
  return [{ key: write.key, revision: write.expectedRevision }, ...(write.conditions ?? [])];
}

/** Writes for one transaction, in the order in which they were added. */
export class WriteBatch {
  readonly writes: QueuedWrite[] = [];
  private readonly keys = new Set<string>();
  /** by key: the revision that the key must still have */
  private readonly expectedRevisions = new Map<string, number>();
  private bytes = 0;
  private acceptancesLeft: number;

  constructor(private readonly limits: WriteBatchLimits) {
    this.acceptancesLeft = limits.maxAcceptances;
  }

  /** Whether the batch accepts no further write. */
  get isFull(): boolean {
    return this.writes.length >= this.limits.maxWrites || this.bytes >= MAX_TRANSACTION_BYTES;
  }

  /** Whether the write may be added to this batch. Its size isn't considered. */
  accepts(write: QueuedWrite): boolean {
    if (this.writes.length > 0 && (write.sendAlone || this.writes[0]?.sendAlone)) return false;
    if (write.priority === WritePriority.acceptance && this.acceptancesLeft < 1) return false;
    if (this.keys.has(write.key)) return false;
    return this.acceptsConditions(conditionsOf(write));
  }

  /** Adds a write. `bytes`: its encoded size, including the key. */
  add(write: QueuedWrite, bytes: number): void {
    if (write.priority === WritePriority.acceptance) this.acceptancesLeft--;
    this.bytes += bytes;
    this.keys.add(write.key);
    for (const { key, revision } of conditionsOf(write)) this.expectedRevisions.set(key, revision);
    this.writes.push(write);
  }

  /** Returns the effect that sends the batch. `leaseId`: this controller's lease on the state service; null: it has none. */
  toEffect(id: number, leaseId: number | null): Effect {
    return {
      type: 'compareAndSwap',
      id,
      conditions: [...this.expectedRevisions].map(([key, revision]) => ({ key, revision })),
      writes: this.writes.map((write) => toKeyWrite(write, leaseId)),
    };
  }

  private acceptsConditions(conditions: readonly RevisionCondition[]): boolean {
    const maxConditions = CONDITIONS_PER_WRITE * this.limits.writesPerTransaction;
    if (this.expectedRevisions.size + conditions.length > maxConditions) return false;
    // Two writes that expect different revisions of a key can't both succeed.
    return conditions.every(({ key, revision }) => (this.expectedRevisions.get(key) ?? revision) === revision);
  }
}

function toKeyWrite(write: QueuedWrite, leaseId: number | null): KeyWrite {
  if (write.sentValue === undefined) return { del: write.key };
  return write.attachedToLease && leaseId !== null
    ? { put: write.key, value: write.sentValue, lease: leaseId }
    : { put: write.key, value: write.sentValue };
}
