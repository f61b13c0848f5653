/** Grants machines whose workers report, and which no share has, to shares: where work waits, or else by guarantees. */
import type { PeerShare } from '@archpost/protocol';
import type { Context } from '../context/index.js';
import type { Ms } from '../model/index.js';
import { copies } from '../scheduling/placement.js';
import { encodeGrant } from '../state/assignment-record.js';
import { KEY } from '../state/keys.js';
import { URGENCY } from '../state/write-queue.js';
import type { Rentals } from './autoscaler.js';
import { type Kind, serve, suits, typeOf, type WaitingWork, waitingWork } from './demand.js';
import { ShareBalance } from './shard-balance.js';

/** A machine without a grant whose worker reported. */
export interface Stranger extends Kind {
  machine: string;
  addr: string;
}

/** A machine granted to a share a moment ago. */
export interface RecentGrant extends Kind {
  share: number;
  at: Ms;
}

/** A granted machine is probed, planned for and told of within this time. */
const GRANT_SHOWS_MS = 1500;

/** A machine that was last heard longer ago isn't granted: it may be gone. */
const HEARD_MS = 4000;

/** What a peer told longer ago isn't counted on. */
const PEER_TOLD_MS = 5000;

const GRANT_EXPIRES_MS = 8000;

export class Grants {
  private readonly strangers = new Map<string, { stranger: Stranger; at: Ms }>();
  private readonly writing = new Set<string>();
  private readonly recentGrants = new Map<string, RecentGrant>();

  constructor(
    private readonly context: Context,
    private readonly rentals: () => Rentals,
  ) {}

  reported(stranger: Stranger, now: Ms): void {
    this.strangers.set(stranger.machine, { stranger, at: now });
  }

  /** Machines without a grant that reported here lately. */
  reportedLately(now: Ms): Stranger[] {
    for (const [name, { at }] of this.strangers)
      if (now - at > HEARD_MS || this.context.table.machines.has(name)) this.strangers.delete(name);
    return [...this.strangers.values()].map(({ stranger }) => stranger);
  }

  /** A grant of this machine is being written. */
  pending(machine: string): boolean {
    return this.writing.has(machine);
  }

  /** What was granted so lately that what its share tells doesn't show it yet. */
  recent(now: Ms): RecentGrant[] {
    for (const [name, grant] of this.recentGrants)
      if (!this.writing.has(name) && now - grant.at > GRANT_SHOWS_MS) this.recentGrants.delete(name);
    return [...this.recentGrants.values()];
  }

  /** `leaderStamp`: the stamp under which this controller leads. */
  grantAll(shares: () => Map<number, PeerShare>, leaderStamp: number, now: Ms): void {
    const all = this.ungranted(now);
    if (all.size === 0) return;
    const waiting = waitingWork(shares().values());
    this.serveRecent(waiting, now);
    const balance = new ShareBalance(this.context, this.recentGrants);
    for (const stranger of all.values()) {
      this.rentals().up(stranger.machine, stranger, now);
      const share = this.shareInNeed(stranger, waiting) ?? balance.worstOff(stranger.type);
      balance.add(stranger.type, share);
      this.write(stranger, share, leaderStamp, now);
    }
  }

  /** Takes off the waiting work what was granted a moment ago. */
  serveRecent(waiting: WaitingWork[], now: Ms): void {
    for (const grant of this.recent(now)) {
      const capacity = typeOf(this.context, grant.type);
      if (capacity) serve(waiting, grant.share, grant, capacity);
    }
  }

  /** By name, what reported here or to another controller. */
  private ungranted(now: Ms): Map<string, Stranger> {
    const { table, peers } = this.context;
    const candidates = this.reportedLately(now);
    for (const peer of peers.values()) if (now - peer.at < PEER_TOLD_MS) candidates.push(...peer.status.strangers);
    const all = new Map<string, Stranger>();
    for (const stranger of candidates) {
      if (table.machines.has(stranger.machine) || this.writing.has(stranger.machine)) continue;
      // Else a late report of a machine that was given back.
      if (!this.rentals().goneLately(stranger.machine, now)) all.set(stranger.machine, stranger);
    }
    return all;
  }

  private write({ machine, addr, type, zone, spot }: Stranger, share: number, leaderStamp: number, now: Ms): void {
    this.writing.add(machine);
    this.recentGrants.set(machine, { share, type, zone, spot, at: now });
    this.context.writer.add({
      key: KEY.grant(machine),
      value: () => encodeGrant({ share, address: addr, type, zone, spot, moveTo: null, retire: false }),
      guard: 0,
      also: [{ key: KEY.holding('lead'), stamp: leaderStamp }],
      urgency: URGENCY.grant,
      until: now + GRANT_EXPIRES_MS,
      done: () => {
        this.writing.delete(machine);
        this.rentals().granted(machine);
      },
    });
  }

  /** The share whose waiting work the machine serves best; what needs accelerators comes first on those. */
  private shareInNeed(stranger: Stranger, waiting: WaitingWork[]): number | null {
    const { type, zone, spot } = stranger;
    const capacity = typeOf(this.context, type);
    if (!capacity) return null;
    const served = ({ left, demand }: WaitingWork) =>
      left > 0 && copies(demand, capacity) >= 1 && suits(demand, type, zone, spot);
    const accelerated = capacity.gpus > 0 && !spot ? waiting.find((work) => work.demand.gpus > 0 && served(work)) : undefined;
    const work = accelerated ?? waiting.find(served);
    if (!work) return null;
    serve(waiting, work.share, stranger, capacity);
    return work.share;
  }
}
