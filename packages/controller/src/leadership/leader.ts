import type { MachineType, PeerShare } from '@archpost/protocol';
import { Rentals } from '../capacity/autoscaler.js';
import { suits, waitingWork } from '../capacity/demand.js';
import { Grants, type Stranger } from '../capacity/machine-assigner.js';
import { Moves } from '../capacity/shard-rebalancer.js';
import type { Context } from '../context/index.js';
import { type Machine, type Ms, NEVER } from '../model/index.js';
import { copies } from '../scheduling/placement.js';
import type { Owner } from '../shards/shard-controller.js';
import { encodeGrant } from '../state/assignment-record.js';
import { KEY } from '../state/keys.js';
import { URGENCY } from '../state/write-queue.js';

/** A round weighs all machines: with many of them rounds are rarer, though work that waits is never left for longer. */
const ROUND_MS = 500;
const ROUND_MS_PER_MACHINE = 1;
const LONGEST_ROUND_MS = 1500;

/** Moves in one round: so many in any case, or this part of what the state service takes in the time of a round. */
const MOVES_A_ROUND = 6;
const MOVES_SHARE_OF_CHANGES = 0.03;

/** Idle machines let go in one round, for each move that it may order. */
const LET_GO_PER_MOVE = 0.5;

/** The elected leader: grants machines to shares, moves them, and lets go what is idle. */
export class Leader {
  private since: Ms = -1;
  private stamp = 0;
  private lastRound: Ms = NEVER;
  private readonly grants: Grants;
  readonly rentals: Rentals;
  private readonly moves: Moves;

  constructor(
    private readonly context: Context,
    private readonly owner: Owner,
  ) {
    this.grants = new Grants(context, () => this.rentals);
    this.moves = new Moves(context);
    this.rentals = new Rentals(
      context,
      (machine) => this.grants.pending(machine),
      (now) => this.grants.recent(now),
      (zone) => owner.fleet.reachability.isCut(zone),
    );
  }

  gained(stamp: number, now: Ms): void {
    this.since = now;
    this.stamp = stamp;
    this.moves.reset();
    this.rentals.gained(stamp, now);
  }

  machineGone(name: string, now: Ms): void {
    this.moves.machineGone(name);
    this.rentals.gone(name, now);
  }

  lost(): void {
    this.since = -1;
  }

  get leading(): boolean {
    return this.since >= 0;
  }

  stranger(s: Stranger, now: Ms): void {
    this.grants.reported(s, now);
  }

  strangersNow(now: Ms): Stranger[] {
    return this.grants.reportedLately(now);
  }

  tick(now: Ms): void {
    if (this.since < 0 || !this.context.leaseValid(now)) return;
    this.rentals.askList(now);
    this.grants.grantAll(() => this.shares(now), this.stamp, now);
    // A round weighs all machines: with many of them, rounds are rarer.
    if (now - this.lastRound < this.roundMs || now - this.context.freshAt > 4000 || this.context.settling()) return;
    this.lastRound = now;
    const shares = this.shares(now);
    this.move(shares, now);
    if (this.context.table.typesKnown && this.rentals.known) {
      this.rentals.rent(shares, now);
      this.rentals.tidy(now);
      if (!this.context.settings.policy.hold) this.giveBackIdle(shares, now);
    }
  }

  private get roundMs(): Ms {
    return Math.min(LONGEST_ROUND_MS, ROUND_MS + ROUND_MS_PER_MACHINE * this.context.table.machines.size);
  }

  private get movesARound(): number {
    const changes = (this.context.settings.state.writeRps * this.roundMs) / 1000;
    return Math.max(MOVES_A_ROUND, Math.floor(MOVES_SHARE_OF_CHANGES * changes));
  }

  private shares(now: Ms): Map<number, PeerShare> {
    const out = new Map<number, PeerShare>();
    for (const p of this.context.peers.values()) {
      if (now - p.at > 5000) continue;
      for (const s of p.status.shares) if (this.context.table.holder(s.share)?.holder.node === p.status.node) out.set(s.share, s);
    }
    for (const share of this.owner.held.keys()) out.set(share, this.owner.share(share, now));
    return out;
  }

  private move(shares: Map<number, PeerShare>, now: Ms): void {
    const waiting = waitingWork(shares.values());
    this.grants.serveRecent(waiting, now);
    this.moves.plan(shares, waiting, this.movesARound, (machine, share) => this.order(machine, share, now), now);
  }

  private order(m: Machine, share: number, now: Ms): void {
    this.context.log('debug', 'move', { machine: m.name, from: m.share, to: share });
    this.context.writer.add({
      key: KEY.grant(m.name),
      value: () => encodeGrant({ ...this.context.table.grantOf(m), moveTo: share }),
      guard: m.grantStamp,
      also: [{ key: KEY.holding('lead'), stamp: this.stamp }],
      urgency: URGENCY.grant,
      until: now + 4000,
      done: (o) => {
        if (o !== 'ok') this.moves.dropped(m.name);
      },
    });
  }

  /**
   * What costs little may stay idle for longer: it saves little, and to have it again takes
   * its boot time, paid and waited for. The dearest kind goes back first.
   */
  private patience(cap: MachineType | null, spot: boolean, dearest: number): number {
    if (!cap) return 1;
    return Math.min(8, Math.sqrt(dearest / Math.max(1e-6, spot ? cap.spotPrice : cap.price)));
  }

  private giveBackIdle(shares: Map<number, PeerShare>, now: Ms): void {
    const demands = [...shares.values()].flatMap((s) => s.demands);
    const dearest = Math.max(...this.rentals.options().map((o) => o.type.price));
    let budget = Math.floor(this.movesARound * LET_GO_PER_MOVE);
    for (const s of shares.values()) {
      for (const p of s.machines) {
        const m = this.context.table.machines.get(p.name);
        if (!m || budget <= 0 || p.tasks > 0 || m.moveTo >= 0 || m.retire || p.firmRank > 0) continue;
        const cap = m.cap;
        if (p.idleS < this.context.settings.policy.idleS * this.patience(cap, m.spot, dearest)) continue;
        if (
          cap &&
          demands.some(
            (d) =>
              copies(d, cap) >= 1 &&
              suits(d, cap.name, this.context.table.zoneNames.name(m.zone), m.spot) &&
              // It has been idle all the while: lesser work doesn't take a dear machine for itself.
              (d.gpus > 0 || d.rank > 1 || cap.gpus === 0 || m.spot),
          )
        )
          continue;
        budget--;
        this.context.log('info', 'not needed', { machine: m.name, idleS: Math.round(p.idleS) });
        this.context.writer.add({
          key: KEY.grant(m.name),
          value: () => encodeGrant({ ...this.context.table.grantOf(m), retire: true }),
          guard: m.grantStamp,
          also: [{ key: KEY.holding('lead'), stamp: this.stamp }],
          urgency: URGENCY.progress,
          until: now + 4000,
          done: () => {},
        });
      }
    }
  }
}
