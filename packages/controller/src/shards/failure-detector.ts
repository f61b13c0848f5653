/**
 * Which workers can be reached from here, as far as their answers and their silence tell: whether a zone is cut off, and
 * whether the fault is this controller's own. What is heard isn't reachable, and no answer isn't no.
 */

import type { Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import type { Machine, Ms } from '../model/index.js';

/** No worker answers for this long, though some were asked for that: the fault is here. */
const DOUBT_MS = 2000;

/** So many that are heard don't answer, and none has for so long: a doubt. */
const DOUBTED_MACHINES = 3;
const UNANSWERED_MS = 1500;

/** Workers asked at once whether they can be reached, how often, and how many answers in a row end the doubt. */
const ASKED_AT_ONCE = 4;
const ASK_AGAIN_MS = 1500;
const ANSWERS_TO_TRUST = 6;

/** A machine heard within this time counts as heard in its zone. */
const HEARD_LATELY_MS = 4000;

/** One that is well isn't asked more often than this. */
const ASK_WELL_AGAIN_MS = 1000;

/** A few machines that were asked at once whether they can be reached. */
interface AskedRound {
  answered: number;
  silent: string[];
}

/** What is seen of a zone's machines that are ours. */
interface ZoneView {
  all: number;
  /** heard lately */
  heard: number;
  /** do not answer commands */
  lost: number;
}

export class Reachability {
  private readonly cutZones = new Set<number>();
  private zones = new Map<number, ZoneView>();
  /** Can workers be reached from here? */
  reachable = true;
  private lostReachAt: Ms = -1;
  /** since when no worker at all has answered; -1: some do */
  private doubtSince: Ms = -1;
  private answered = 0;
  private askAt: Ms = 0;
  /** questions of a round that were not answered yet, and whom they went to */
  private readonly asking = new Map<number, string>();
  private round: AskedRound = { answered: 0, silent: [] };
  private rounds = 0;
  /** machines that were silent while others answered */
  private readonly silentAlone = new Set<string>();

  constructor(
    private readonly context: Context,
    private readonly work: Work,
  ) {}

  /** Doubts of before a pause of this process start anew. */
  paused(): void {
    this.doubtSince = -1;
    this.lostReachAt = -1;
  }

  /** Looks at all machines held here. */
  judge(now: Ms): void {
    this.judgeDoubt(now);
    this.zones = this.viewZones(now);
    this.judgeZones(this.zones, now);
    this.judgeReach(this.zones, now);
  }

  /** Where many can't be reached at once, the fault isn't theirs. */
  manyLost(zone: number): boolean {
    const view = this.zones.get(zone);
    return !this.reachable || this.cutZones.has(zone) || (view !== undefined && view.lost > 1 && view.lost * 4 > view.all);
  }

  /** Is the machine in a zone that is seen to be cut off? */
  isInCutZone(machine: Machine): boolean {
    return this.cutZones.has(machine.zone);
  }

  private viewZones(now: Ms): Map<number, ZoneView> {
    const zones = new Map<number, ZoneView>();
    for (const machine of this.context.table.machines.values()) {
      // What was not asked yet after a takeover says nothing of its zone.
      if (!this.work.held.has(machine.share) || (!machine.resolved && !machine.probed)) continue;
      const view = zones.get(machine.zone) ?? { all: 0, heard: 0, lost: 0 };
      view.all++;
      if (machine.lostCount >= 2) view.lost++;
      if (now - machine.heardAt < HEARD_LATELY_MS) view.heard++;
      zones.set(machine.zone, view);
    }
    return zones;
  }

  /** Several machines don't answer though they are heard, and since then none does. */
  private judgeDoubt(now: Ms): void {
    const doubt = this.work.unanswered.size >= DOUBTED_MACHINES && now - this.work.answeredAt > UNANSWERED_MS;
    if (!doubt) {
      const lasted = this.doubtSince < 0 ? 0 : now - this.doubtSince;
      this.doubtSince = -1;
      // Cleared at once by those who were asked: the others' silence is their own.
      if (lasted < DOUBT_MS) return;
      for (const machine of this.context.table.machines.values())
        if (this.work.held.has(machine.share)) this.startAnew(machine, now);
      return;
    }
    if (this.doubtSince < 0) this.doubtSince = now;
    // At once: the doubt ends sooner than an answer stops counting for trust, and who is well isn't asked otherwise.
    this.askWell(now);
  }

  /**
   * When a cut ends, workers need a moment to find their way back from the keeper that
   * answered them meanwhile: until then their silence says nothing.
   */
  private judgeZones(zones: Map<number, ZoneView>, now: Ms): void {
    for (const [zone, view] of zones) {
      if (this.isZoneCut(zone, view, now)) this.cutZones.add(zone);
      else if (this.cutZones.delete(zone)) {
        for (const machine of this.context.table.machines.values()) {
          if (machine.zone === zone && this.work.held.has(machine.share)) this.startAnew(machine, now);
        }
      }
    }
  }

  /**
   * Workers that can't be reached from here, not even those of our own zone: the fault is
   * ours, and another controller can do better. What is asked for here finds out when
   * it is over.
   */
  private judgeReach(zones: Map<number, ZoneView>, now: Ms): void {
    if (!this.reachable) return;
    const own = zones.get(this.context.table.zoneNames.find(this.context.settings.zone));
    const all = { all: 0, heard: 0, lost: 0 };
    for (const view of zones.values()) {
      all.all += view.all;
      all.lost += view.lost;
    }
    const view = own && own.all >= 3 ? own : all;
    const lost = view.all >= 3 && view.lost * 4 >= view.all * 3;
    if (!lost && this.doubtSince < 0) {
      this.lostReachAt = -1;
      return;
    }
    if (this.lostReachAt < 0) this.lostReachAt = lost ? now : this.doubtSince;
    if (now - this.lostReachAt < DOUBT_MS) return;
    this.reachable = false;
    this.answered = 0;
    this.silentAlone.clear();
    this.askAt = now;
    this.context.log('warn', 'workers can not be reached from here', { lost: view.lost, of: view.all });
  }

  /** Without shares no command tells whether workers can be reached again: a few are asked. */
  seekReach(now: Ms): void {
    if (this.reachable || now < this.askAt || this.asking.size > 0) return;
    this.askAt = now + ASK_AGAIN_MS;
    const zone = this.context.table.zoneNames.find(this.context.settings.zone);
    const all = [...this.context.table.machines.values()].filter((machine) => machine.addr !== '');
    const near = all.filter((machine) => machine.zone === zone);
    const list = near.length >= 3 ? near : all;
    if (list.length === 0) this.reachable = true;
    const others = list.filter((machine) => !this.silentAlone.has(machine.name));
    this.askRound(others.length >= ASKED_AT_ONCE ? others : list);
  }

  /** A few from all over the list, others each time. */
  private askRound(list: Machine[]): void {
    this.round = { answered: 0, silent: [] };
    const start = this.rounds++;
    for (let i = 0; i < Math.min(ASKED_AT_ONCE, list.length); i++) {
      const machine = list[Math.floor((i * list.length) / ASKED_AT_ONCE + start) % list.length] as Machine;
      const id = this.context.nextId();
      this.asking.set(id, machine.name);
      this.context.emit({ t: 'ask', id, addr: machine.addr });
    }
  }

  /**
   * Where others of its round answer, a machine's silence is its own, and it isn't asked again. With a third of all
   * machines dead the same four were asked for ever, and nobody gave the dead ones back meanwhile.
   */
  private endRound(): void {
    if (this.asking.size > 0 || this.round.answered < this.round.silent.length) return;
    for (const name of this.round.silent) this.silentAlone.add(name);
  }

  /** Whether a worker answered the question that `ask` put. */
  asked(id: number, ok: boolean): void {
    const name = this.asking.get(id);
    if (name === undefined) return;
    this.asking.delete(id);
    this.answered = ok ? this.answered + 1 : 0;
    if (ok) this.round.answered++;
    else this.round.silent.push(name);
    this.endRound();
    // Two rounds answered whole: a share that comes home must not leave again at once.
    if (this.answered < ANSWERS_TO_TRUST || this.reachable) return;
    this.reachable = true;
    this.lostReachAt = -1;
    this.doubtSince = -1;
    this.work.unanswered.clear();
    for (const machine of this.context.table.machines.values()) machine.lostCount = 0;
    this.context.log('info', 'workers can be reached again');
  }

  /** Is the zone seen to be cut off? */
  isCut(zone: string): boolean {
    return this.cutZones.has(this.context.table.zoneNames.find(zone));
  }

  /** A zone whose machines are all silent, or most of them and its controllers too, is cut off. */
  private isZoneCut(zone: number, view: ZoneView, now: Ms): boolean {
    const name = this.context.table.zoneNames.name(zone);
    const { settings } = this.context;
    if (name === settings.zone) return view.all >= 3 && view.heard === 0;
    const there = settings.nodes.filter((node) => node.zone === name && node.name !== settings.node);
    if (there.length > 0) return there.every((node) => !this.context.peerAlive(node.name, now)) && view.heard * 2 <= view.all;
    return view.all >= 2 && view.heard === 0;
  }

  /**
   * Before a machine is given up for its silence, some other must have answered lately: else
   * perhaps it is this controller that is cut off from all workers. One such cut of 30 s took
   * 115 live machines. Those that are heard, by way of others if need be, are asked. Where
   * there is nobody to ask, it takes twice the silence.
   */
  isTrusted(now: Ms, silent: Ms): boolean {
    if (now - this.work.answeredAt < 2000 * this.context.settings.workers.reportS) return true;
    const asked = this.askWell(now);
    return asked === 0 && silent > 2000 * this.context.settings.policy.silentS;
  }

  /** Some that are heard and have answered so far are asked. Returns how many there are, up to a few. */
  private askWell(now: Ms): number {
    let asked = 0;
    for (const machine of this.context.table.machines.values()) {
      if (asked === ASKED_AT_ONCE) break;
      if (!this.work.held.has(machine.share) || machine.lostCount > 0 || machine.giveBack !== '') continue;
      if (!this.work.heardLately(machine, now)) continue;
      if (now - machine.lastAskAt > ASK_WELL_AGAIN_MS) machine.ask = true;
      asked++;
    }
    return asked;
  }

  /** Its silence so far may have been ours. */
  private startAnew(machine: Machine, now: Ms): void {
    // One that hasn't answered since the share was taken over keeps the share's work from going
    // on, and is asked, not waited for.
    machine.heardAt = machine.resolved ? now : Math.max(machine.heardAt, now - this.context.settings.policy.silentS * 500);
    machine.lostCount = Math.min(machine.lostCount, 1);
    machine.lostSince = machine.lostCount > 0 ? now : -1;
  }
}
