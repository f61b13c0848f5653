/**
 * What controllers tell one another of themselves: each other one what concerns it, and the leader by way of the
 * state service while the link to it is down. The limit on changes to the state service is shared out by the same
 * statuses.
 */
import type { PeerStatus } from '@archpost/protocol';
import type { Context } from '../context/index.js';
import type { ReportForwarding } from '../heartbeats/heartbeat-forwarding.js';
import type { WorkerRouting } from '../heartbeats/worker-routing.js';
import { type Ms, NEVER } from '../model/index.js';
import { inTurn } from '../model/round-robin.js';
import type { Owner } from '../shards/shard-controller.js';
import { KEY } from '../state/keys.js';
import { encodeStatus } from '../state/status-record.js';
import { URGENCY } from '../state/write-queue.js';
import type { Vouching } from './cancellation-freshness.js';
import type { Leader } from './leader.js';
import { RunningNews } from './running-task-deltas.js';
import { fitStatus } from './stored-status.js';

const STATUS_INTERVAL_MS = 700;

/**
 * Machines in one status that others own and that were heard here, and machines without a grant. Of more, these are
 * told in turn; with the longest names each list fills a quarter of a frame.
 */
const MOST_HEARD = 4000;
const MOST_UNGRANTED = 2000;

/** How often the leader is told by way of the state service: it is slower, and costs changes. */
const STORED_STATUS_INTERVAL_MS = 2000;

/** Part of the limit on changes that is used at all, and of that the part left to each in any case. */
const USED_SHARE = 0.95;
const LEAST_SHARE = 0.3;

/** What of this controller goes into a status. */
export interface StatusSources {
  owner: Owner;
  leader: Leader;
  forwarding: ReportForwarding;
  routing: WorkerRouting;
  vouching: Vouching;
  /** may workers' reports be answered here? */
  mayAnswerWorkers(now: Ms): boolean;
}

export class StatusExchange {
  private sentAt: Ms = NEVER;
  private sent = 0;
  private readonly runningNews = new RunningNews();
  private storing = false;
  private storedAt: Ms = NEVER;
  private stored = 0;

  constructor(
    private readonly context: Context,
    private readonly sources: StatusSources,
  ) {}

  tick(now: Ms): void {
    if (now - this.sentAt > STATUS_INTERVAL_MS) {
      this.sentAt = now;
      this.sendToAll(now);
    }
    this.storeForLeader(now);
  }

  /** What this controller may use of the changes that all may make in a second. */
  shareOfChanges(perSecond: number, now: Ms): number {
    const { context } = this;
    const count = Math.max(1, context.settings.nodes.length);
    const all = perSecond * USED_SHARE;
    const floor = (LEAST_SHARE * all) / count;
    const own = context.writer.wanted(now);
    let free = all - floor;
    let wanted = own;
    for (const node of context.settings.nodes) {
      if (node.name === context.settings.node) continue;
      // What a controller that isn't heard uses is not known: an equal share is left to it.
      const heard = context.peerAlive(node.name, now);
      free -= heard ? floor : all / count;
      if (heard) wanted += context.peers.get(node.name)?.status.writes ?? 0;
    }
    return Math.max(1, floor + (wanted > 0 ? (free * own) / wanted : free / count));
  }

  private get leader(): string | null {
    return this.context.table.holder('lead')?.holder.node ?? null;
  }

  /** To each other controller what concerns it: the leader alone decides over machines. */
  private sendToAll(now: Ms): void {
    const { vouching, forwarding, owner } = this.sources;
    const status = this.status(now);
    Object.assign(status, this.runningNews.next(owner.running()));
    const turn = this.sent++;
    status.strangers = inTurn(status.strangers, MOST_UNGRANTED, turn);
    const heard = forwarding.lately(now);
    const { leader } = this;
    for (const { name } of this.context.settings.nodes) {
      if (name === this.context.settings.node) continue;
      const own: PeerStatus = {
        ...status,
        heard: inTurn(heard.get(name) ?? [], MOST_HEARD, turn),
        ...vouching.toTell(name, now),
      };
      if (leader !== null && name !== leader) {
        own.shares = [];
        own.strangers = [];
      }
      this.context.emit({ t: 'status', to: name, status: own });
    }
  }

  private status(now: Ms): PeerStatus {
    const { context } = this;
    const { owner, leader, routing } = this.sources;
    return {
      node: context.settings.node,
      shares: [...owner.held.keys()].map((share) => owner.share(share, now)),
      running: [],
      runningAll: false,
      strangers: leader.strangersNow(now),
      heard: [],
      plenty: leader.leading ? leader.rentals.plenty() : [],
      lead: leader.leading,
      entitled: this.sources.mayAnswerWorkers(now),
      reach: owner.fleet.reachability.reachable,
      writes: Math.round(context.writer.wanted(now)),
      storeOk: context.storeOk(now),
      hears: routing.count(now),
      loaded: context.replica.loaded,
      cancelStamp: context.table.cancelStamp,
      ping: '',
      echo: '',
    };
  }

  /**
   * A zone that is cut off still reaches the state service: without this, the leader would neither grant its new
   * machines nor rent for its waiting work until the cut ends.
   */
  private storeForLeader(now: Ms): void {
    const { context, leader } = this;
    if (leader === null || leader === context.settings.node || context.peerAlive(leader, now)) return;
    if (!context.replica.loaded || !context.leaseValid(now) || this.storing || now - this.storedAt < STORED_STATUS_INTERVAL_MS)
      return;
    this.storedAt = now;
    this.storing = true;
    const key = KEY.status(context.settings.node);
    const status = fitStatus(key, this.status(now), context.table.sizes.changeBytes, this.stored++);
    context.writer.add({
      key,
      value: () => encodeStatus(status),
      guard: context.replica.get(key)?.stamp ?? 0,
      urgency: URGENCY.progress,
      until: now + STORED_STATUS_INTERVAL_MS,
      done: () => {
        this.storing = false;
      },
    });
  }
}
