import type { MachineType, PeerMachine, PeerShare } from '@archpost/wire';
import type { Context } from './context.js';
import { serve, suits, waitingWork } from './demand.js';
import { encodeGrant } from './grant-record.js';
import { Grants, type Stranger } from './grants.js';
import { type Machine, type Ms, SCARCE_AFTER_S, TOP_RANK } from './model.js';
import type { Owner } from './owner.js';
import { copies } from './placement.js';
import { Rentals } from './rentals.js';
import { KEY } from './state-keys.js';
import { URGENCY } from './writer.js';

/** Work of the highest rank that waited for so many plan waits gets machines that bear firm work elsewhere. */
const PRESSING_PLAN_WAITS = 1.5;

/** The elected leader: grants machines to shares, moves them, and lets go what is idle. */
export class Leader {
  private since: Ms = -1;
  private stamp = 0;
  private lastRound: Ms = -1e12;
  private readonly grants: Grants;
  readonly rentals: Rentals;
  private readonly moves = new Map<string, Ms>();
  private readonly movedAt = new Map<string, Ms>();
  private clearedAt: Ms = -1e12;

  constructor(
    private readonly context: Context,
    private readonly owner: Owner,
  ) {
    this.grants = new Grants(context, () => this.rentals);
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
    this.moves.clear();
    this.rentals.gained(stamp, now);
  }

  machineGone(name: string, now: Ms): void {
    this.movedAt.delete(name);
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
    if (
      now - this.lastRound < 500 + this.context.table.machines.size ||
      now - this.context.freshAt > 4000 ||
      this.context.settling()
    )
      return;
    this.lastRound = now;
    const shares = this.shares(now);
    this.move(shares, now);
    if (this.context.table.typesKnown && this.rentals.known) {
      this.rentals.rent(shares, now);
      this.rentals.tidy(now);
      if (!this.context.settings.policy.hold) this.giveBackIdle(shares, now);
    }
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

  /** Free machines, or such as bear lesser work only, go where work has no room. */
  private move(shares: Map<number, PeerShare>, now: Ms): void {
    const { table } = this.context;
    for (const [name, at] of this.moves) {
      const m = table.machines.get(name);
      if (!m || (m.moveTo < 0 && now - at > 3000)) this.moves.delete(name);
    }
    const wants = waitingWork(shares.values());
    this.grants.serveRecent(wants, now);
    const taken = new Set<string>();
    // What is on its way already serves the first who want it.
    for (const [name] of this.moves) {
      const m = table.machines.get(name);
      if (!m || m.moveTo < 0 || !m.cap) continue;
      serve(wants, m.moveTo, { type: m.cap.name, zone: table.zoneNames.name(m.zone), spot: m.spot }, m.cap);
      taken.add(name);
    }
    const idle = (s: PeerShare) =>
      s.machines.filter(
        (p) => p.tasks === 0 && table.machines.get(p.name)?.spot === false && table.machines.get(p.name)?.cap?.gpus === 0,
      ).length;
    let budget = 6;
    for (const w of wants) {
      if (budget <= 0) break;
      const options: { m: Machine; p: PeerMachine; score: number }[] = [];
      for (const s of shares.values()) {
        if (s.share === w.share) continue;
        // A share in the same need keeps what it has.
        const rival = s.demands.some(
          (d) => d.rank > w.demand.rank || (d.rank === w.demand.rank && (d.within || !w.demand.within) && d.waitS > 0.2),
        );
        for (const p of s.machines) {
          const m = table.machines.get(p.name);
          if (!m || m.share !== s.share || m.moveTo >= 0 || m.retire || taken.has(p.name) || !m.cap) continue;
          // A machine that was moved lately, or bears services that would have to move, stays
          // for a while: going to and fro would serve nobody.
          const moved = this.movedAt.get(p.name) ?? -1e12;
          if (now - moved < (p.tasks > 0 ? 30_000 : 3000)) continue;
          if (p.services > 0 && (w.demand.waitS < 3 || now - this.clearedAt < 3000)) continue;
          if (p.firmRank >= w.demand.rank || copies(w.demand, m.cap) < 1) continue;
          if (!suits(w.demand, m.cap.name, table.zoneNames.name(m.zone), m.spot)) continue;
          if (
            rival &&
            s.demands.some(
              (d) =>
                d.rank >= w.demand.rank &&
                suits(d, (m.cap as MachineType).name, table.zoneNames.name(m.zone), m.spot) &&
                copies(d, m.cap as MachineType) >= 1,
            )
          )
            continue;
          // Machines with accelerators that may not be had again stay for what needs them, unless
          // the most urgent work has found nothing else for a while.
          const scarce = m.cap.gpus > 0 && !m.spot && !this.context.plenty(m.cap.name) && table.gpuShares.has(s.share);
          // Work on them gives way only to what has pressed for longer than its own share needs to clear one.
          const pressing =
            w.demand.rank >= TOP_RANK &&
            w.demand.waitS > PRESSING_PLAN_WAITS * this.context.settings.policy.planWaitS &&
            w.left * 2 >= copies(w.demand, m.cap);
          if (
            w.demand.gpus === 0 &&
            scarce &&
            (w.demand.rank < TOP_RANK || w.demand.waitS < SCARCE_AFTER_S || (p.tasks > 0 && !pressing))
          )
            continue;
          if (p.firmRank >= TOP_RANK - 1 && !pressing) continue;
          // Ordinary machines stay for what can't use others.
          if (w.demand.spot && !m.spot && w.demand.gpus === 0 && idle(s) <= 3) continue;
          if (w.demand.gpus === 0 && m.cap.gpus > 0 && w.demand.rank < 2 && p.tasks > 0) continue;
          const n = copies(w.demand, m.cap);
          options.push({
            m,
            p,
            score:
              p.services * 200 +
              (p.tasks > 0 ? 100 + 10 * p.tasks : 0) +
              (w.demand.gpus === 0 && m.cap.gpus > 0 ? 50 : 0) -
              Math.min(n, w.left),
          });
        }
      }
      options.sort((a, b) => a.score - b.score);
      for (const o of options) {
        if (w.left <= 0 || budget <= 0) break;
        taken.add(o.m.name);
        budget--;
        w.left -= copies(w.demand, o.m.cap as MachineType);
        this.order(o.m, w.share, now);
        if (o.p.services === 0) continue;
        this.clearedAt = now;
        break;
      }
    }
  }

  private order(m: Machine, share: number, now: Ms): void {
    this.movedAt.set(m.name, now);
    this.moves.set(m.name, now);
    this.context.log('debug', 'move', { machine: m.name, from: m.share, to: share });
    this.context.writer.add({
      key: KEY.grant(m.name),
      value: () => encodeGrant({ ...this.context.table.grantOf(m), moveTo: share }),
      guard: m.grantStamp,
      also: [{ key: KEY.holding('lead'), stamp: this.stamp }],
      urgency: URGENCY.grant,
      until: now + 4000,
      done: (o) => {
        if (o !== 'ok') this.moves.delete(m.name);
      },
    });
  }

  /**
   * What costs little may stay idle for longer: it saves little, and to have it again takes
   * its boot time, paid and waited for. The dearest kind goes back first.
   */
  private patience(cap: MachineType | null, spot: boolean): number {
    if (!cap) return 1;
    const dearest = Math.max(...this.rentals.options().map((o) => o.type.price));
    return Math.min(8, Math.sqrt(dearest / Math.max(1e-6, spot ? cap.spotPrice : cap.price)));
  }

  private giveBackIdle(shares: Map<number, PeerShare>, now: Ms): void {
    const demands = [...shares.values()].flatMap((s) => s.demands);
    let budget = 3;
    for (const s of shares.values()) {
      for (const p of s.machines) {
        const m = this.context.table.machines.get(p.name);
        if (!m || budget <= 0 || p.tasks > 0 || m.moveTo >= 0 || m.retire || p.firmRank > 0) continue;
        const cap = m.cap;
        if (p.idleS < this.context.settings.policy.idleS * this.patience(cap, m.spot)) continue;
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
