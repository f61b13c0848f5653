/**
 * Changes that wait for the limit of the state service, in the order in which they are sent. A wave of losses or a
 * first start queues one for each machine; sorting all of them before each transaction took the leader most of its
 * processor time at 4,000 machines, so they are kept in order.
 */
import type { Guard } from '@archpost/protocol';
import sortedBTree from 'sorted-btree';
import type { Ms } from '../model/index.js';

/**
 * Which writes go first. Users' answers wait for what they asked for, so neither may stand
 * behind a hundred grants; acceptances take half of a transaction at most while others wait.
 */
export const URGENCY = {
  holding: 0,
  cancel: 1,
  accept: 2,
  /** grants, moves, and jobs that are done */
  grant: 3,
  /** tokens to raise, grants to drop, a controller's presence: like grants once they have waited */
  release: 4,
  progress: 5,
  images: 6,
} as const;

/** After this long a release counts as a grant. */
const RELEASE_MS = 300;

/** `dropped`: it was given up, and was not carried out. */
export type WriteOutcome = 'ok' | 'conflict' | 'dropped';

export interface PendingWrite {
  key: string;
  /** evaluated when sent first; undefined removes the key */
  value: (now: Ms) => unknown;
  /** stamp that the key must still have; 0: must not exist */
  guard: number;
  also?: Guard[];
  /** attached to our state lease */
  leased?: boolean;
  /** smaller goes first */
  urgency: number;
  /** what hangs on it has to be done as soon as what users ask for, whatever its urgency was at first */
  pressing?: () => boolean;
  /** dropped unsent after this time */
  until?: Ms;
  done: (outcome: WriteOutcome, stamp: number) => void;
}

/** A change that waits to be sent, or to be sent again. */
export interface QueuedWrite extends PendingWrite {
  /** an earlier send got no answer: it may be applied yet, or be applied already */
  uncertain: boolean;
  /** the state service did not take it together with others */
  alone: boolean;
  /** when it was queued first */
  at: Ms;
  sentValue: unknown;
}

/** Where a write stands: smaller urgency first; of two alike the older, and then the one that was queued before. */
interface Position {
  urgency: number;
  at: Ms;
  number: number;
}

function comparePositions(a: Position, b: Position): number {
  return a.urgency - b.urgency || a.at - b.at || a.number - b.number;
}

const BTree = sortedBTree.default;

export class WriteQueue {
  private readonly ordered = new BTree<Position, QueuedWrite>(undefined, comparePositions);
  private readonly positions = new Map<QueuedWrite, Position>();
  /** those whose urgency may change while they wait */
  private readonly changeable = new Set<QueuedWrite>();
  private readonly counts = new Map<number, number>();
  private nextNumber = 1;

  get length(): number {
    return this.positions.size;
  }

  add(write: QueuedWrite, now: Ms): void {
    if (write.pressing !== undefined || write.urgency === URGENCY.release) this.changeable.add(write);
    this.insert(write, this.urgencyOf(write, now));
  }

  remove(write: QueuedWrite): void {
    this.changeable.delete(write);
    this.take(write);
  }

  /** How many wait that are now as urgent as this. */
  count(urgency: number): number {
    return this.counts.get(urgency) ?? 0;
  }

  /** All that wait, the first to be sent first, by their urgency now. Nothing may be added or removed meanwhile. */
  inOrder(now: Ms): IterableIterator<QueuedWrite> {
    for (const write of this.changeable) {
      const urgency = this.urgencyOf(write, now);
      if (this.positions.get(write)?.urgency === urgency) continue;
      this.take(write);
      this.insert(write, urgency);
    }
    return this.ordered.values();
  }

  /** Takes out and returns those that must not be sent any more, since they have waited for too long. */
  takeExpired(now: Ms): QueuedWrite[] {
    const expired: QueuedWrite[] = [];
    for (const write of this.positions.keys())
      if (write.until !== undefined && now > write.until && !write.uncertain) expired.push(write);
    for (const write of expired) this.remove(write);
    return expired;
  }

  private urgencyOf(write: QueuedWrite, now: Ms): number {
    if (write.pressing?.()) return Math.min(write.urgency, URGENCY.cancel);
    return write.urgency === URGENCY.release && now - write.at > RELEASE_MS ? URGENCY.grant : write.urgency;
  }

  private insert(write: QueuedWrite, urgency: number): void {
    const position: Position = { urgency, at: write.at, number: this.nextNumber++ };
    this.positions.set(write, position);
    this.ordered.set(position, write);
    this.counts.set(urgency, this.count(urgency) + 1);
  }

  private take(write: QueuedWrite): void {
    const position = this.positions.get(write);
    if (!position) return;
    this.positions.delete(write);
    this.ordered.delete(position);
    this.counts.set(position.urgency, this.count(position.urgency) - 1);
  }
}
