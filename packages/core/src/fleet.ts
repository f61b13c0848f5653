import type { Context } from './context.js';
import { encodeGrant } from './grant-record.js';
import type { Machine, Ms } from './model.js';
import { KEY } from './state-keys.js';
import type { Work } from './work.js';
import { URGENCY } from './writer.js';

/** No worker answers for this long, though some were asked for that: the fault is here. */
const DOUBT_MS = 2000;

/** What is seen of a zone's machines that are ours. */
interface ZoneView {
  all: number;
  /** heard lately */
  heard: number;
  /** do not answer commands */
  lost: number;
}

/** The machines of our shares: which are silent, cut off or out of reach, which move and which go back. */
export class Fleet {
  private readonly returns = new Map<number, Machine[]>();
  private nextReturnAt: Ms = 0;
  private readonly cutZones = new Set<number>();
  /** Can workers be reached from here? */
  reach = true;
  private lostReachAt: Ms = -1;
  /** since when no worker at all has answered; -1: some do */
  private doubtSince: Ms = -1;
  private answered = 0;
  private askAt: Ms = 0;
  private readonly asking = new Set<number>();

  constructor(
    private readonly context: Context,
    private readonly work: Work,
  ) {}

  /** Doubts of before a pause of this process start anew. */
  paused(): void {
    this.doubtSince = -1;
    this.lostReachAt = -1;
  }

  watchMachines(now: Ms): void {
    const silentMs = this.context.settings.policy.silentS * 1000;
    this.judgeDoubt(now);
    const zones = new Map<number, ZoneView>();
    for (const m of this.context.table.machines.values()) {
      if (!this.work.held.has(m.share)) continue;
      const z = zones.get(m.zone) ?? { all: 0, heard: 0, lost: 0 };
      // What was not asked yet after a takeover says nothing of its zone.
      if (!m.resolved && !m.probed) continue;
      z.all++;
      if (m.lostCount >= 2) z.lost++;
      if (now - m.heardAt < 4000) z.heard++;
      zones.set(m.zone, z);
    }
    this.judgeZones(zones, now);
    this.judgeReach(zones, now);
    const manyLost = (zone: number) => {
      const z = zones.get(zone);
      return !this.reach || this.cutZones.has(zone) || (z !== undefined && z.lost > 1 && z.lost * 4 > z.all);
    };
    const limit = this.context.settings.workers.cancelS * 1000 * 0.5;
    const back: Machine[] = [];
    for (const m of this.context.table.machines.values()) {
      if (!this.context.acts(m.share)) continue;
      const silent = m.resolved || m.probed ? now - m.heardAt : 0;
      // Cancelled work must be gone in time, whatever the reason for the silence, and whatever
      // is thought of how long it lasts.
      if (m.giveBack === '' && this.cancelledWork(m, now, limit)) this.giveUp(m, 'cancelled work that does not end');
      // Once its notice is over a silent machine is most likely taken.
      const taken = m.noticeUntil > 0 && now > m.noticeUntil && silent > this.context.settings.workers.reportS * 1500;
      if ((silent > silentMs || taken) && !m.giveBack && now - m.elsewhereAt >= 5000) {
        const cut = this.cutZones.has(m.zone);
        const waits = silent > limit && this.cancelledWork(m, now, 0);
        if ((!cut && this.reach && this.trusted(now, silent)) || waits)
          this.giveUp(m, waits ? 'silent with cancelled work' : 'silent');
      }
      if (m.giveBack === '' && this.work.empty(m) && m.resolved && !m.dirty) {
        if (m.retire) this.giveUp(m, 'not needed');
        else if (this.work.blame.faulty(m, now)) {
          this.work.blame.convicted(m);
          this.giveUp(m, 'faulty');
        } else if (m.noticeUntil > 0) this.giveUp(m, 'spot notice');
        else if (m.moveTo >= 0) this.handOver(m);
      }
      if ((m.moveTo >= 0 || m.retire) && m.giveBack === '') this.work.vacate(m);
      if (m.giveBack && !m.returning && now >= m.returnAt) back.push(m);
      // Its reports come, but nothing reaches it: it would be thought well for ever, though
      // its lease runs out. Where many can't be reached at once, the fault isn't theirs.
      if (m.giveBack === '' && this.cutZones.has(m.zone) && this.doomed(m, now))
        this.giveUp(m, 'cut off for longer than its work lives');
      if (m.giveBack === '' && this.unreachable(m, now) && !manyLost(m.zone) && this.trusted(now, now - m.lostSince))
        this.giveUp(m, 'can not be reached');
      if (m.dirty && !m.raisingToken && m.inflight === 0 && !m.giveBack) this.raiseToken(m);
    }
    if (back.length > 0 && now >= this.nextReturnAt) {
      const id = this.context.nextId();
      const some = this.cancelledFirst(back).slice(0, 50);
      for (const m of some) m.returning = true;
      this.returns.set(id, some);
      this.nextReturnAt = now + 300;
      this.context.emit({ t: 'return', id, machines: some.map((m) => m.name) });
    }
  }

  private cancelledFirst(machines: Machine[]): Machine[] {
    const urgent = new Set(machines.filter((m) => this.work.bearsCancelled(m)));
    return [...urgent, ...machines.filter((m) => !urgent.has(m))];
  }

  /**
   * Bears work whose user cancelled it longer than this ago, and that was told so: the time counts from
   * the reading of the cancellation, not from when a new holder found the work.
   */
  private cancelledWork(m: Machine, now: Ms, longer: Ms): boolean {
    const told = Math.min(longer, this.context.settings.workers.reportS * 2000);
    for (const p of m.placements.values()) {
      const { job } = p;
      if (job.state !== 'cancelled' || p.phase === 'exited') continue;
      if (now - job.cancelledAt > longer && now - job.lastStop > told) return true;
    }
    return false;
  }

  /**
   * Before a machine is given up for its silence, some other must have answered lately: else
   * perhaps it is this controller that is cut off from all workers. One such cut of 30 s took
   * 115 live machines. Those that are heard, by way of others if need be, are asked. Where
   * there is nobody to ask, it takes twice the silence.
   */
  private trusted(now: Ms, silent: Ms): boolean {
    if (now - this.work.answeredAt < 2000 * this.context.settings.workers.reportS) return true;
    let asked = 0;
    for (const m of this.context.table.machines.values()) {
      if (asked === 4) break;
      if (!this.work.held.has(m.share) || m.lostCount > 0 || m.giveBack !== '') continue;
      if (!this.work.heardLately(m, now)) continue;
      if (now - m.lastAskAt > 1000) m.ask = true;
      asked++;
    }
    return asked === 0 && silent > 2000 * this.context.settings.policy.silentS;
  }

  /** Several machines don't answer though they are heard, and since then none does. */
  private judgeDoubt(now: Ms): void {
    const doubt = this.work.unanswered.size >= 3 && now - this.work.answeredAt > 1500;
    if (!doubt) {
      const lasted = this.doubtSince < 0 ? 0 : now - this.doubtSince;
      this.doubtSince = -1;
      // Cleared at once by those who were asked: the others' silence is their own.
      if (lasted < DOUBT_MS) return;
      for (const m of this.context.table.machines.values()) if (this.work.held.has(m.share)) this.startAnew(m, now);
      return;
    }
    if (this.doubtSince < 0) this.doubtSince = now;
    this.trusted(now, 0);
  }

  /** Its silence so far may have been ours. */
  private startAnew(m: Machine, now: Ms): void {
    // One that hasn't answered since the share was taken over keeps the share's work from going
    // on, and is asked, not waited for.
    m.heardAt = m.resolved ? now : Math.max(m.heardAt, now - this.context.settings.policy.silentS * 500);
    m.lostCount = Math.min(m.lostCount, 1);
    m.lostSince = m.lostCount > 0 ? now : -1;
  }

  /**
   * When a cut ends, workers need a moment to find their way back from the keeper that
   * answered them meanwhile: until then their silence says nothing.
   */
  private judgeZones(zones: Map<number, ZoneView>, now: Ms): void {
    for (const [zone, z] of zones) {
      if (this.zoneCut(zone, z, now)) this.cutZones.add(zone);
      else if (this.cutZones.delete(zone)) {
        for (const m of this.context.table.machines.values()) {
          if (m.zone === zone && this.work.held.has(m.share)) this.startAnew(m, now);
        }
      }
    }
  }

  /**
   * In a zone that is cut off from the state service too, its controllers stop answering
   * workers, and the work there ends by their leases. From then on such a machine only keeps
   * its work from going on elsewhere; what it bears, or may bear, is worth its return.
   */
  private doomed(m: Machine, now: Ms): boolean {
    const bears = m.suspect || [...m.placements.values()].some((p) => p.job.spec.shape !== 'array');
    const { cancelS, leaseS, reportS } = this.context.settings.workers;
    if (!bears || now - m.heardAt < (leaseS + 2 * reportS) * 1000) return false;
    const zone = this.context.table.zoneNames.name(m.zone);
    return this.context.settings.nodes.every((n) => {
      if (n.zone !== zone) return true;
      const since = this.context.table.absentSince.get(n.name);
      return since !== undefined && now - since > (cancelS / 2) * 1000;
    });
  }

  /** Is the zone seen to be cut off? */
  cut(zone: string): boolean {
    return this.cutZones.has(this.context.table.zoneNames.find(zone));
  }

  /** Three commands in a row without an answer, over longer than a machine's silence is borne. */
  private unreachable(m: Machine, now: Ms): boolean {
    return m.lostCount >= 3 && now - m.lostSince > this.context.settings.policy.silentS * 1000;
  }

  /**
   * Workers that can't be reached from here, not even those of our own zone: the fault is
   * ours, and another controller can do better. What is asked for here finds out when
   * it is over.
   */
  private judgeReach(zones: Map<number, ZoneView>, now: Ms): void {
    if (!this.reach) return;
    const own = zones.get(this.context.table.zoneNames.find(this.context.settings.zone));
    const all = { all: 0, heard: 0, lost: 0 };
    for (const z of zones.values()) {
      all.all += z.all;
      all.lost += z.lost;
    }
    const z = own && own.all >= 3 ? own : all;
    const lost = z.all >= 3 && z.lost * 4 >= z.all * 3;
    if (!lost && this.doubtSince < 0) {
      this.lostReachAt = -1;
      return;
    }
    if (this.lostReachAt < 0) this.lostReachAt = lost ? now : this.doubtSince;
    if (now - this.lostReachAt < DOUBT_MS) return;
    this.reach = false;
    this.answered = 0;
    this.askAt = now;
    this.context.log('warn', 'workers can not be reached from here', { lost: z.lost, of: z.all });
  }

  /** Without shares no command tells whether workers can be reached again: a few are asked. */
  seekReach(now: Ms): void {
    if (this.reach || now < this.askAt || this.asking.size > 0) return;
    this.askAt = now + 1500;
    const zone = this.context.table.zoneNames.find(this.context.settings.zone);
    const all = [...this.context.table.machines.values()].filter((m) => m.addr !== '');
    const near = all.filter((m) => m.zone === zone);
    const list = near.length >= 3 ? near : all;
    if (list.length === 0) this.reach = true;
    for (let i = 0; i < Math.min(4, list.length); i++) {
      const m = list[Math.floor((i * list.length) / 4 + this.answered) % list.length] as Machine;
      const id = this.context.nextId();
      this.asking.add(id);
      this.context.emit({ t: 'ask', id, addr: m.addr });
    }
  }

  asked(id: number, ok: boolean): void {
    if (!this.asking.delete(id)) return;
    this.answered = ok ? this.answered + 1 : 0;
    // Two rounds answered whole: a share that comes home must not leave again at once.
    if (this.answered < 6 || this.reach) return;
    this.reach = true;
    this.lostReachAt = -1;
    this.doubtSince = -1;
    this.work.unanswered.clear();
    for (const m of this.context.table.machines.values()) m.lostCount = 0;
    this.context.log('info', 'workers can be reached again');
  }

  /** A zone whose machines are all silent, or most of them and its controllers too, is cut off. */
  private zoneCut(zone: number, z: ZoneView, now: Ms): boolean {
    const name = this.context.table.zoneNames.name(zone);
    const { settings } = this.context;
    if (name === settings.zone) return z.all >= 3 && z.heard === 0;
    const there = settings.nodes.filter((n) => n.zone === name && n.name !== settings.node);
    if (there.length > 0) return there.every((n) => !this.context.peerAlive(n.name, now)) && z.heard * 2 <= z.all;
    return z.all >= 2 && z.heard === 0;
  }

  private giveUp(m: Machine, why: string): void {
    m.giveBack = why;
    m.returnAt = 0;
    this.context.log('info', 'giving machine back', {
      machine: m.name,
      zone: this.context.table.zoneNames.name(m.zone),
      why,
      tasks: m.placements.size,
    });
  }

  private handOver(m: Machine): void {
    if (m.grantQueued) return;
    m.grantQueued = true;
    const to = m.moveTo;
    this.context.writer.add({
      key: KEY.grant(m.name),
      value: () => encodeGrant({ ...this.context.table.grantOf(m), share: to }),
      guard: m.grantStamp,
      also: this.work.also(m.share),
      urgency: URGENCY.grant,
      done: (o) => {
        m.grantQueued = false;
        if (o === 'ok') this.context.log('debug', 'machine handed over', { machine: m.name, to });
      },
    });
  }

  /**
   * Guards against a command that we gave up on and that is executed late: the worker
   * takes nothing older once it has seen the higher token.
   */
  private raiseToken(m: Machine): void {
    if (m.grantQueued) return;
    m.raisingToken = true;
    m.grantQueued = true;
    const rewriteOf = m.grantStamp;
    this.context.writer.add({
      key: KEY.grant(m.name),
      value: () => {
        const moveTo = m.moveTo >= 0 ? m.moveTo : null;
        return encodeGrant({ ...this.context.table.grantOf(m), moveTo, retire: m.retire }, rewriteOf);
      },
      guard: m.grantStamp,
      also: this.work.also(m.share),
      urgency: URGENCY.release,
      // No command to the machine leaves before this is stored, and so no stop.
      pressing: () => this.work.bearsCancelled(m),
      done: (o) => {
        m.grantQueued = false;
        m.raisingToken = false;
        if (o === 'ok') {
          m.dirty = false;
          m.resolved = false;
          m.probed = false;
        }
      },
    });
  }

  returned(id: number, ok: boolean, now: Ms): void {
    const list = this.returns.get(id);
    if (!list) return;
    this.returns.delete(id);
    for (const m of list) {
      m.returning = false;
      m.returnAt = now + 1500;
      if (!ok || !this.work.held.has(m.share)) continue;
      // 200: the machine and everything on it are gone.
      m.returning = true;
      m.resolved = true;
      m.suspect = false;
      for (const p of [...m.placements.values()]) this.work.free(p);
      this.dropGrant(m);
    }
  }

  private dropGrant(m: Machine): void {
    const cache = KEY.cache(m.name);
    const kept = this.context.replica.get(cache);
    if (kept)
      this.context.writer.add({
        key: cache,
        value: () => undefined,
        guard: kept.stamp,
        urgency: URGENCY.images,
        until: this.work.now + 15_000,
        done: () => {},
      });
    this.context.writer.add({
      key: KEY.grant(m.name),
      value: () => undefined,
      guard: m.grantStamp,
      also: this.work.also(m.share),
      urgency: URGENCY.release,
      done: (o) => {
        if (o !== 'ok' && this.context.table.machines.get(m.name) === m && this.work.held.has(m.share)) this.dropGrant(m);
      },
    });
  }
}
