/**
 * Changes that wait for the limit of the state service, in the order in which they are sent. A wave of losses or a
 * first start queues one for each machine; sorting all of them before each transaction took the leader most of its
 * processor time at 4,000 machines, so they are kept in order.
 */
import type { RevisionCondition } from '@archpost/protocol';
import sortedBTree from 'sorted-btree';
import type { Milliseconds } from '../model/index.js';

/**
 * Which writes go first. Users' answers wait for what they asked for, so neither may stand
 * behind a hundred grants; acceptances take half of a transaction at most while others wait.
 */
export const WritePriority = {
  shardLease: 0,
  cancellation: 1,
  acceptance: 2,
  /** grants, moves, and jobs that are done */
  assignment: 3,
  /** tokens to raise, grants to drop, a controller's presence: like grants once they have waited */
  release: 4,
  progress: 5,
  images: 6,
} as const;

/** After this long a release counts as a grant. */
const RELEASE_PROMOTION_MS = 300;

/** `dropped`: it was given up, and was not carried out. */
export type WriteOutcome = 'ok' | 'conflict' | 'dropped';

export interface PendingWrite {
  key: string;
  /** evaluated when sent first; undefined removes the key */
  value: (now: Milliseconds) => unknown;
  /** stamp that the key must still have; 0: must not exist */
  expectedRevision: number;
  conditions?: RevisionCondition[];
  /** attached to our state lease */
  attachedToLease?: boolean;
  /** smaller goes first */
  priority: number;
  /** what hangs on it has to be done as soon as what users ask for, whatever its urgency was at first */
  isUrgent?: () => boolean;
  /** dropped unsent after this time */
  expiresAt?: Milliseconds;
  onOutcome: (outcome: WriteOutcome, revision: number) => void;
}

/** A change that waits to be sent, or to be sent again. */
export interface QueuedWrite extends PendingWrite {
  /** an earlier send got no answer: it may be applied yet, or be applied already */
  mayBeApplied: boolean;
  /** the state service did not take it together with others */
  sendAlone: boolean;
  /** when it was queued first */
  queuedAt: Milliseconds;
  sentValue: unknown;
}

/** Where a write stands: smaller urgency first; of two alike the older, and then the one that was queued before. */
interface QueuePosition {
  priority: number;
  queuedAt: Milliseconds;
  sequence: number;
}

function comparePositions(a: QueuePosition, b: QueuePosition): number {
  return a.priority - b.priority || a.queuedAt - b.queuedAt || a.sequence - b.sequence;
}

const BTree = sortedBTree.default;

export class WriteQueue {
  private readonly ordered = new BTree<QueuePosition, QueuedWrite>(undefined, comparePositions);
  private readonly positions = new Map<QueuedWrite, QueuePosition>();
  /** those whose urgency may change while they wait */
  private readonly withChangingPriority = new Set<QueuedWrite>();
  private readonly counts = new Map<number, number>();
  private nextSequence = 1;

  get length(): number {
    return this.positions.size;
  }

  add(write: QueuedWrite, now: Milliseconds): void {
    if (write.isUrgent !== undefined || write.priority === WritePriority.release) this.withChangingPriority.add(write);
    this.insert(write, this.priorityOf(write, now));
  }

  remove(write: QueuedWrite): void {
    this.withChangingPriority.delete(write);
    this.detach(write);
  }

  /** How many wait that are now as urgent as this. */
  count(urgency: number): number {
    return this.counts.get(urgency) ?? 0;
  }

  /** All that wait, the first to be sent first, by their urgency now. Nothing may be added or removed meanwhile. */
  inOrder(now: Milliseconds): IterableIterator<QueuedWrite> {
    for (const write of this.withChangingPriority) {
      const urgency = this.priorityOf(write, now);
      if (this.positions.get(write)?.priority === urgency) continue;
      this.detach(write);
      this.insert(write, urgency);
    }
    return this.ordered.values();
  }

  /** Takes out and returns those that must not be sent any more, since they have waited for too long. */
  takeExpired(now: Milliseconds): QueuedWrite[] {
    const expired: QueuedWrite[] = [];
    for (const write of this.positions.keys())
      if (write.expiresAt !== undefined && now > write.expiresAt && !write.mayBeApplied) expired.push(write);
    for (const write of expired) this.remove(write);
    return expired;
  }

  private priorityOf(write: QueuedWrite, now: Milliseconds): number {
    if (write.isUrgent?.()) return Math.min(write.priority, WritePriority.cancellation);
    return write.priority === WritePriority.release && now - write.queuedAt > RELEASE_PROMOTION_MS
      ? WritePriority.assignment
      : write.priority;
  }

  private insert(write: QueuedWrite, urgency: number): void {
    const position: QueuePosition = { priority: urgency, queuedAt: write.queuedAt, sequence: this.nextSequence++ };
    this.positions.set(write, position);
    this.ordered.set(position, write);
    this.counts.set(urgency, this.count(urgency) + 1);
  }

  private detach(write: QueuedWrite): void {
    const position = this.positions.get(write);
    if (!position) return;
    this.positions.delete(write);
    this.ordered.delete(position);
    this.counts.set(position.priority, this.count(position.priority) - 1);
  }
}
