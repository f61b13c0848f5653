/**
 * What controllers tell one another of themselves: each other one what concerns it, and the leader by way of the
 * state service while the link to it is down. The limit on changes to the state service is shared out by the same
 * statuses.
 */
import type { PeerStatus } from '@archpost/wire';
import type { Context } from './context.js';
import type { Leader } from './leader.js';
import { type Ms, NEVER } from './model.js';
import type { Owner } from './owner.js';
import type { ReportForwarding } from './report-forwarding.js';
import { KEY } from './state-keys.js';
import { fitStatus } from './stored-status.js';
import type { Vouching } from './vouching.js';
import type { WorkerRouting } from './worker-routing.js';
import { URGENCY } from './writer.js';

const STATUS_INTERVAL_MS = 700;

/** Each so many statuses tell of all jobs that run; a peer that missed a change has it within seconds. */
const RUNNING_ALL_EACH = 5;

/** How often the leader is told by way of the state service: it is slower, and costs changes. */
const STORED_STATUS_INTERVAL_MS = 2000;

/** Part of the limit on changes that is used at all, and of that the part left to each in any case. */
const USED_SHARE = 0.95;
const LEAST_SHARE = 0.3;

type Running = ReturnType<Owner['running']>;

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
  private runningSent: Running = new Map();
  private storing = false;
  private storedAt: Ms = NEVER;

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
    const running = owner.running();
    status.runningAll = this.sent++ % RUNNING_ALL_EACH === 0;
    status.running = status.runningAll ? [...running].map(([job, r]) => ({ job, ...r })) : this.runningChanged(running);
    this.runningSent = running;
    const heard = forwarding.lately(now);
    const { leader } = this;
    for (const { name } of this.context.settings.nodes) {
      if (name === this.context.settings.node) continue;
      const own: PeerStatus = { ...status, heard: heard.get(name) ?? [], ...vouching.toTell(name, now) };
      if (leader !== null && name !== leader) {
        own.shares = [];
        own.strangers = [];
      }
      this.context.emit({ t: 'status', to: name, status: own });
    }
  }

  /** With a swarm of small jobs all of them, each time, to everybody, would cost more than all else told. */
  private runningChanged(all: Running): PeerStatus['running'] {
    const changed: PeerStatus['running'] = [];
    for (const [job, r] of all) {
      const old = this.runningSent.get(job);
      if (old?.count !== r.count || old.done !== r.done || old.failed !== r.failed) changed.push({ job, ...r });
    }
    for (const job of this.runningSent.keys()) if (!all.has(job)) changed.push({ job, count: 0, done: 0, failed: 0 });
    return changed;
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
    const whole: PeerStatus = { ...this.status(now), heard: this.sources.forwarding.lately(now).get(leader) ?? [] };
    const status = fitStatus(key, whole, context.table.sizes.changeBytes);
    context.writer.add({
      key,
      value: () => status,
      guard: context.replica.get(key)?.stamp ?? 0,
      urgency: URGENCY.progress,
      until: now + STORED_STATUS_INTERVAL_MS,
      done: () => {
        this.storing = false;
      },
    });
  }
}
