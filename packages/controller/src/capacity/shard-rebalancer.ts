/**
 * Which machines the leader moves from share to share: free ones, or such as bear lesser work only, go where work has
 * no room.
 */
import type { PeerDemand, PeerMachine, PeerShare } from '@archpost/protocol';
import type { Context } from '../context/index.js';
import { type Machine, type Ms, NEVER, SCARCE_AFTER_S, TOP_RANK } from '../model/index.js';
import { copies } from '../scheduling/placement.js';
import { serve, suits, type WaitingWork } from './demand.js';

/** Work of the highest rank that waited for so many plan waits gets machines that bear firm work elsewhere. */
const PRESSING_PLAN_WAITS = 1.5;

/** An ordered move that its owner hasn't taken up after this long was refused or is done. */
const ORDER_SHOWS_MS = 3000;

/**
 * A machine that was moved stays for so long, with and without work on it: going to and fro would serve nobody.
 */
const STAYS_WITH_WORK_MS = 30_000;
const STAYS_EMPTY_MS = 3000;

/** Services are displaced this often at most, for work that waited this long. */
const DISPLACE_EACH_MS = 3000;
const DISPLACE_AFTER_S = 3;

/** A share keeps so many idle ordinary machines from work that may use cheap ones. */
const KEPT_FOR_OTHERS = 3;

/** A rival's work counts once it has waited this long. */
const RIVAL_WAIT_S = 0.2;

/** Scores: what is displaced, what is stopped, and accelerators that are not needed cost this much each. */
const COST_OF_SERVICE = 200;
const COST_OF_BUSY = 100;
const COST_OF_TASK = 10;
const COST_OF_ACCELERATORS = 50;

/** A machine that may be moved, as its owner tells of it. */
interface Movable {
  machine: Machine;
  told: PeerMachine;
  share: PeerShare;
  capacity: NonNullable<Machine['cap']>;
  zone: string;
}

interface Option {
  movable: Movable;
  score: number;
}

/** What a round knows of the shares beside what they told, worked out when first asked for. */
class RoundView {
  private readonly idleCounts = new Map<number, number>();

  constructor(private readonly context: Context) {}

  /** Idle ordinary machines of the share, without accelerators. */
  idle(share: PeerShare): number {
    const known = this.idleCounts.get(share.share);
    if (known !== undefined) return known;
    const { machines } = this.context.table;
    const count = share.machines.filter((told) => {
      const machine = machines.get(told.name);
      return told.tasks === 0 && machine?.spot === false && machine.cap?.gpus === 0;
    }).length;
    this.idleCounts.set(share.share, count);
    return count;
  }
}

export class Moves {
  /** moves that were ordered and are not done yet, and when */
  private readonly ordered = new Map<string, Ms>();
  private readonly movedAt = new Map<string, Ms>();
  private displacedAt: Ms = NEVER;

  constructor(private readonly context: Context) {}

  /** A new lead knows of no orders. */
  reset(): void {
    this.ordered.clear();
  }

  machineGone(name: string): void {
    this.movedAt.delete(name);
  }

  /** The order could not be written. */
  dropped(name: string): void {
    this.ordered.delete(name);
  }

  /** The moves of a round: at most so many, for what is waiting. Calls `order` for each. */
  plan(
    shares: Map<number, PeerShare>,
    waiting: WaitingWork[],
    most: number,
    order: (machine: Machine, share: number) => void,
    now: Ms,
  ): void {
    this.forgetDone(now);
    const taken = this.serveOrdered(waiting);
    const movables = this.movables(shares, taken, this.highestRank(waiting), now);
    const view = new RoundView(this.context);
    let left = most;
    for (const work of waiting) {
      if (left <= 0) return;
      for (const { movable } of this.options(movables, work, taken, view, now)) {
        if (work.left <= 0 || left <= 0) break;
        const { machine, told, capacity } = movable;
        taken.add(machine.name);
        left--;
        work.left -= copies(work.demand, capacity);
        this.movedAt.set(machine.name, now);
        this.ordered.set(machine.name, now);
        order(machine, work.share);
        if (told.services === 0) continue;
        this.displacedAt = now;
        break;
      }
    }
  }

  private forgetDone(now: Ms): void {
    for (const [name, at] of this.ordered) {
      const machine = this.context.table.machines.get(name);
      if (!machine || (machine.moveTo < 0 && now - at > ORDER_SHOWS_MS)) this.ordered.delete(name);
    }
  }

  /** What is on its way already serves the first who want it. Returns its names. */
  private serveOrdered(waiting: WaitingWork[]): Set<string> {
    const { table } = this.context;
    const taken = new Set<string>();
    for (const name of this.ordered.keys()) {
      const machine = table.machines.get(name);
      if (!machine || machine.moveTo < 0 || !machine.cap) continue;
      const kind = { type: machine.cap.name, zone: table.zoneNames.name(machine.zone), spot: machine.spot };
      serve(waiting, machine.moveTo, kind, machine.cap);
      taken.add(name);
    }
    return taken;
  }

  private highestRank(waiting: WaitingWork[]): number {
    return waiting.reduce((highest, { demand }) => Math.max(highest, demand.rank), -1);
  }

  /** Sorted out once a round, whatever waits: going over all machines for each demand was most of a round's cost. */
  private movables(shares: Map<number, PeerShare>, taken: Set<string>, highestRank: number, now: Ms): Movable[] {
    const { table } = this.context;
    const movables: Movable[] = [];
    for (const share of shares.values()) {
      for (const told of share.machines) {
        const machine = table.machines.get(told.name);
        if (!machine?.cap || machine.share !== share.share || machine.moveTo >= 0 || machine.retire) continue;
        if (taken.has(told.name) || told.firmRank >= highestRank || this.staysFor(told, now)) continue;
        movables.push({ machine, told, share, capacity: machine.cap, zone: table.zoneNames.name(machine.zone) });
      }
    }
    return movables;
  }

  private staysFor(told: PeerMachine, now: Ms): boolean {
    const since = now - (this.movedAt.get(told.name) ?? NEVER);
    return since < (told.tasks > 0 ? STAYS_WITH_WORK_MS : STAYS_EMPTY_MS);
  }

  /** The machines that may be moved for the work, the one that costs least first. */
  private options(movables: Movable[], work: WaitingWork, taken: Set<string>, view: RoundView, now: Ms): Option[] {
    const rivals = new Map<PeerShare, boolean>();
    const options: Option[] = [];
    for (const movable of movables) {
      const { share, machine } = movable;
      if (share.share === work.share || taken.has(machine.name)) continue;
      if (!this.serves(movable, work.demand, now) || this.isKept(movable, work, view)) continue;
      const rival = rivals.get(share) ?? this.isRival(share, work.demand);
      rivals.set(share, rival);
      if (rival && this.servesOwn(movable, work.demand)) continue;
      options.push({ movable, score: this.score(movable, work) });
    }
    return options.sort((a, b) => a.score - b.score);
  }

  private serves({ told, capacity, zone, machine }: Movable, demand: PeerDemand, now: Ms): boolean {
    // A machine that bears services that would have to move stays for a while.
    if (told.services > 0 && (demand.waitS < DISPLACE_AFTER_S || now - this.displacedAt < DISPLACE_EACH_MS)) return false;
    if (told.firmRank >= demand.rank || copies(demand, capacity) < 1) return false;
    return suits(demand, capacity.name, zone, machine.spot);
  }

  /** A share in the same need keeps what it has. */
  private isRival(share: PeerShare, demand: PeerDemand): boolean {
    return share.demands.some(
      (own) => own.rank > demand.rank || (own.rank === demand.rank && (own.within || !demand.within) && own.waitS > RIVAL_WAIT_S),
    );
  }

  private servesOwn({ share, capacity, zone, machine }: Movable, demand: PeerDemand): boolean {
    return share.demands.some(
      (own) => own.rank >= demand.rank && suits(own, capacity.name, zone, machine.spot) && copies(own, capacity) >= 1,
    );
  }

  /** Is the machine kept for the work that it is made for? */
  private isKept({ machine, told, share, capacity }: Movable, work: WaitingWork, view: RoundView): boolean {
    const { demand } = work;
    // Work on it gives way only to what has pressed for longer than its own share needs to clear one.
    const pressing =
      demand.rank >= TOP_RANK &&
      demand.waitS > PRESSING_PLAN_WAITS * this.context.settings.policy.planWaitS &&
      work.left * 2 >= copies(demand, capacity);
    if (told.firmRank >= TOP_RANK - 1 && !pressing) return true;
    if (demand.gpus > 0) return false;
    if (this.isScarce(machine, share, capacity)) {
      // These may not be had again, unless the most urgent work has found nothing else for a while.
      if (demand.rank < TOP_RANK || demand.waitS < SCARCE_AFTER_S || (told.tasks > 0 && !pressing)) return true;
    }
    // Ordinary machines stay for what can't use others.
    if (demand.spot && !machine.spot && view.idle(share) <= KEPT_FOR_OTHERS) return true;
    return capacity.gpus > 0 && demand.rank < 2 && told.tasks > 0;
  }

  private isScarce(machine: Machine, share: PeerShare, capacity: Movable['capacity']): boolean {
    if (capacity.gpus === 0 || machine.spot || this.context.plenty(capacity.name)) return false;
    return this.context.table.gpuShares.has(share.share);
  }

  private score({ told, capacity }: Movable, { demand, left }: WaitingWork): number {
    const busy = told.tasks > 0 ? COST_OF_BUSY + COST_OF_TASK * told.tasks : 0;
    const accelerators = demand.gpus === 0 && capacity.gpus > 0 ? COST_OF_ACCELERATORS : 0;
    return told.services * COST_OF_SERVICE + busy + accelerators - Math.min(copies(demand, capacity), left);
  }
}
