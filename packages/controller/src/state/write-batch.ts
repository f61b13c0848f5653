/**
 * One compare-and-swap transaction in the making: which writes may go into it together, and the conditions that they bring.
 * A batch lives from the choice of its writes to their sending.
 */
import type { KeyWrite, RevisionCondition } from '@archpost/protocol';
import type { Effect } from '../model/index.js';
import { type QueuedWrite, WritePriority } from './write-queue.js';

/** A transaction holds values of this size together, or a single larger one. */
const MAX_TRANSACTION_BYTES = 40_000;

/** Conditions in a transaction for each write that it may hold; the service takes four. */
const CONDITIONS_PER_WRITE = 3;

/** What a batch may hold. */
export interface WriteBatchLimits {
  /** writes that the service takes in one transaction */
  writesPerTransaction: number;
  /** writes that the rate limit leaves for this one; may have a fraction */
  maxWrites: number;
  /** of these, acceptances of jobs */
  maxAcceptances: number;
}

/** The conditions of a write: its own key's revision, and those of other keys that it depends on. */
function conditionsOf(write: QueuedWrite): RevisionCondition[] {
  return [{ key: write.key, revision: write.expectedRevision }, ...(write.conditions ?? [])];
}

/** Writes for one transaction, in the order in which they were added. */
export class WriteBatch {
  readonly writes: QueuedWrite[] = [];
  private readonly keys = new Set<string>();
  /** revisions that keys must still have */
  private readonly expectedRevisions = new Map<string, number>();
  private bytes = 0;
  private acceptancesLeft: number;

  constructor(private readonly limits: WriteBatchLimits) {
    this.acceptancesLeft = limits.maxAcceptances;
  }

  /** No further write is to be looked at. */
  get isFull(): boolean {
    return this.writes.length >= this.limits.maxWrites || this.bytes >= MAX_TRANSACTION_BYTES;
  }

  /** May the write go into this transaction? Its size isn't looked at. */
  accepts(write: QueuedWrite): boolean {
    if (this.writes.length > 0 && (write.sendAlone || this.writes[0]?.sendAlone)) return false;
    if (write.priority === WritePriority.acceptance && this.acceptancesLeft < 1) return false;
    if (this.keys.has(write.key)) return false;
    return this.acceptsConditions(conditionsOf(write));
  }

  /** `bytes`: encoded size of the write, its key included. */
  add(write: QueuedWrite, bytes: number): void {
    if (write.priority === WritePriority.acceptance) this.acceptancesLeft--;
    this.bytes += bytes;
    this.keys.add(write.key);
    for (const { key, revision } of conditionsOf(write)) this.expectedRevisions.set(key, revision);
    this.writes.push(write);
  }

  /** The effect that sends the batch. `leaseId`: our lease at the state service; null: we have none. */
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
