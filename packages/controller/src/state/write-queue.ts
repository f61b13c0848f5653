/**
 * The queue of writes that wait for the rate limit of the state service, in the order in which they are sent. A wave of lost
 * machines or a first start queues one write for each machine. Sorting them before each transaction took most of the leader's
 * CPU time at 4,000 machines, so the queue is kept sorted.
 */
import type { RevisionCondition } from '@archpost/protocol';
import sortedBTree from 'sorted-btree';
import type { Milliseconds } from '../model/index.js';

/**
 * The priorities of writes: a smaller number is sent first. Clients wait for the responses to cancellations and submissions, so
 * neither may wait behind a hundred assignments. Acceptances use at most half of a transaction while assignments or releases
 * wait.
 */
export const WritePriority = {
  shardLease: 0,
  cancellation: 1,
  acceptance: 2,
  /** assignments and moves of machines, and completions of jobs */
  assignment: 3,
  /** raised fencing tokens, removals of assignments, a controller's presence; promoted to `assignment` after a wait */
  release: 4,
  progress: 5,
  images: 6,
} as const;

/** Waiting time after which a release has the priority of an assignment. */
const RELEASE_PROMOTION_MS = 300;

/** The revision of a key that doesn't exist. */
export const NO_REVISION = 0;

/**
 * `ok`: the key holds the write's value. `conflict`: it doesn't, because a condition failed or the lease has ended.
 * `dropped`: the write expired before it was applied. `rejected`: the state service never takes it as it is, so a retry would fail
 * as well.
 */
export type WriteOutcome = 'ok' | 'conflict' | 'dropped' | 'rejected';

/** A requested write to one key. */
export interface PendingWrite {
  key: string;
  /** evaluated when the write is sent, but not again if an earlier send may have been applied; undefined removes the key */
  value: (now: Milliseconds) => unknown;
  /** revision that the key must still have; `NO_REVISION`: the key must not exist */
  expectedRevision: number;
  /** revisions that other keys must still have */
  conditions?: RevisionCondition[];
  /** whether the key is attached to this controller's lease on the state service, which removes the key when the lease ends */
  attachedToLease?: boolean;
  /** one of `WritePriority` */
  priority: number;
  /** Returns true once clients wait for something that depends on the write: it then has at least a cancellation's priority. */
  isUrgent?: () => boolean;
  /** the write is dropped if it wasn't sent by this time */
  expiresAt?: Milliseconds;
  /** Called once. If the write was applied, the replica already holds it. */
  onOutcome: (outcome: WriteOutcome) => void;
}

/** A write that waits to be sent, or to be sent again. */
export interface QueuedWrite extends PendingWrite {
  /** an earlier send got no response: that copy may be applied already, or may still be applied */
  mayBeApplied: boolean;
  /** the state service rejected a transaction that contained this write and others */
  sendAlone: boolean;
  /** when the write was first queued */
  queuedAt: Milliseconds;
  /** the value of the last send; undefined before the first, and for a removal */
  sentValue: unknown;
}

/** The position of a write: by current priority, then by the time it was first queued, then by the order of insertion. */
interface QueuePosition {
  priority: number;
  queuedAt: Milliseconds;
  sequence: number;
}

function comparePositions(a: QueuePosition, b: QueuePosition): number {
  return a.priority - b.priority || a.queuedAt - b.queuedAt || a.sequence - b.sequence;
}

const BTree = sortedBTree.default;

/** The waiting writes, sorted by position. */
export class WriteQueue {
  private readonly ordered = new BTree<QueuePosition, QueuedWrite>(undefined, comparePositions);
  private readonly positions = new Map<QueuedWrite, QueuePosition>();
  /** writes whose priority may change while they wait */
  private readonly withChangingPriority = new Set<QueuedWrite>();
  private readonly countByPriority = new Map<number, number>();
  private nextSequence = 1;

  get length(): number {
    return this.positions.size;
  }

  /** Queues a write at the position given by its current priority and the time when it was first queued. */
  add(write: QueuedWrite, now: Milliseconds): void {
    if (write.isUrgent !== undefined || write.priority === WritePriority.release) this.withChangingPriority.add(write);
    this.insert(write, currentPriorityOf(write, now));
  }

  remove(write: QueuedWrite): void {
    this.withChangingPriority.delete(write);
    this.detach(write);
  }

  /** Returns the number of waiting writes that had this priority when the queue was last reordered. */
  count(priority: number): number {
    return this.countByPriority.get(priority) ?? 0;
  }

  /** Returns the waiting writes, ordered by their current priority. No write may be added or removed during the iteration. */
  inOrder(now: Milliseconds): IterableIterator<QueuedWrite> {
    for (const write of this.withChangingPriority) {
      const priority = currentPriorityOf(write, now);
      if (this.positions.get(write)?.priority === priority) continue;
      this.detach(write);
      this.insert(write, priority);
    }
    return this.ordered.values();
  }

  /** Removes and returns the expired writes. A write that may have been applied never expires. */
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
