/**
 * The queue of writes that wait for the rate limit of the state service, in the order in which they are sent. A wave of lost
 * machines or a first start queues one for each machine; sorting all of them before each transaction took the leader most of
 * its processor time at 4,000 machines, so they are kept in order.
 */
import type { RevisionCondition } from '@archpost/protocol';
import sortedBTree from 'sorted-btree';
import type { Milliseconds } from '../model/index.js';

/**
 * Which writes go first: the smaller number. Clients wait for the responses to cancellations and submissions, so neither may
 * stand behind a hundred assignments; acceptances take half of a transaction at most while others wait.
 */
export const WritePriority = {
  shardLease: 0,
  cancellation: 1,
  acceptance: 2,
  /** assignments, moves, and jobs that are done */
  assignment: 3,
  /** fencing tokens to raise, assignments to remove, a controller's presence: like assignments once they have waited */
  release: 4,
  progress: 5,
  images: 6,
} as const;

/** After this long a release counts as an assignment. */
const RELEASE_PROMOTION_MS = 300;

/** Stands for the revision of a key that doesn't exist. */
export const NO_REVISION = 0;

/**
 * `ok`: the key holds the write's value. `conflict`: it doesn't, since a condition failed or the lease has ended.
 * `dropped`: the write was given up without being applied.
 */
export type WriteOutcome = 'ok' | 'conflict' | 'dropped';

/** A write to one key, as it is requested. */
export interface PendingWrite {
  key: string;
  /** evaluated when the write is sent first, and not again for a repeated send; undefined removes the key */
  value: (now: Milliseconds) => unknown;
  /** revision that the key must still have; `NO_REVISION`: it must not exist */
  expectedRevision: number;
  /** revisions that other keys must still have */
  conditions?: RevisionCondition[];
  /** attached to our lease at the state service, which removes the key when that lease ends */
  attachedToLease?: boolean;
  /** one of `WritePriority` */
  priority: number;
  /** true once something that clients wait for depends on it: it then counts as a cancellation at least */
  isUrgent?: () => boolean;
  /** dropped if it wasn't sent by this time */
  expiresAt?: Milliseconds;
  /** Called once; the replica holds the write by then if it was applied. */
  onOutcome: (outcome: WriteOutcome) => void;
}

/** A write that waits to be sent, or to be sent again. */
export interface QueuedWrite extends PendingWrite {
  /** an earlier send got no answer: it may be applied yet, or be applied already */
  mayBeApplied: boolean;
  /** the state service did not take it together with others */
  sendAlone: boolean;
  /** when it was queued first */
  queuedAt: Milliseconds;
  /** the value of the last send; undefined before the first, and for a removal */
  sentValue: unknown;
}

/** The order of writes: by their priority now, then the older first, then the one that was queued before. */
interface QueuePosition {
  priority: number;
  queuedAt: Milliseconds;
  sequence: number;
}

function comparePositions(a: QueuePosition, b: QueuePosition): number {
  return a.priority - b.priority || a.queuedAt - b.queuedAt || a.sequence - b.sequence;
}

const BTree = sortedBTree.default;

/** The writes that wait. */
export class WriteQueue {
  private readonly ordered = new BTree<QueuePosition, QueuedWrite>(undefined, comparePositions);
  private readonly positions = new Map<QueuedWrite, QueuePosition>();
  /** those whose priority may change while they wait */
  private readonly withChangingPriority = new Set<QueuedWrite>();
  private readonly countByPriority = new Map<number, number>();
  private nextSequence = 1;

  get length(): number {
    return this.positions.size;
  }

  /** Queues a write at the place that its priority now and the time of its first queueing give it. */
  add(write: QueuedWrite, now: Milliseconds): void {
    if (write.isUrgent !== undefined || write.priority === WritePriority.release) this.withChangingPriority.add(write);
    this.insert(write, currentPriorityOf(write, now));
  }

  remove(write: QueuedWrite): void {
    this.withChangingPriority.delete(write);
    this.detach(write);
  }

  /** How many wait that had this priority when the queue was last put in order. */
  count(priority: number): number {
    return this.countByPriority.get(priority) ?? 0;
  }

  /** All that wait, the first to be sent first, by their priority now. Nothing may be added or removed during the iteration. */
  inOrder(now: Milliseconds): IterableIterator<QueuedWrite> {
    for (const write of this.withChangingPriority) {
      const priority = currentPriorityOf(write, now);
      if (this.positions.get(write)?.priority === priority) continue;
      this.detach(write);
      this.insert(write, priority);
    }
    return this.ordered.values();
  }

  /** Removes and returns those that must not be sent any more. What may have been applied never expires. */
  takeExpired(now: Milliseconds): QueuedWrite[] {
    const expired: QueuedWrite[] = [];
    for (const write of this.positions.keys())
      if (write.expiresAt !== undefined && now > write.expiresAt && !write.mayBeApplied) expired.push(write);
    for (const write of expired) this.remove(write);
    return expired;
  }

  private insert(write: QueuedWrite, priority: number): void {
    const position: QueuePosition = { priority, queuedAt: write.queuedAt, sequence: this.nextSequence++ };
    this.positions.set(write, position);
    this.ordered.set(position, write);
    this.countByPriority.set(priority, this.count(priority) + 1);
  }

  private detach(write: QueuedWrite): void {
    const position = this.positions.get(write);
    if (!position) return;
    this.positions.delete(write);
    this.ordered.delete(position);
    this.countByPriority.set(position.priority, this.count(position.priority) - 1);
  }
}

function currentPriorityOf(write: QueuedWrite, now: Milliseconds): number {
  if (write.isUrgent?.()) return Math.min(write.priority, WritePriority.cancellation);
  const isPromoted = write.priority === WritePriority.release && now - write.queuedAt > RELEASE_PROMOTION_MS;
  return isPromoted ? WritePriority.assignment : write.priority;
}
