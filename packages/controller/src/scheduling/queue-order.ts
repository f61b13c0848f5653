import type { Work } from '../allocation/task-allocations.js';
import type { Context } from '../context/index.js';
import type { Job, Ms } from '../model/index.js';
import { expectedMs } from '../state/job-dependencies.js';

/** A gang that has waited for this many plan waits is aged. */
const AGED_PLAN_WAITS = 6;

/** An array of which nothing has begun for this long comes before others: users wait four minutes at most. */
const LONGEST_WAIT_MS = 180_000;

/** Whether jobs are within their team's guarantee, and whether they are protected by it. */
export type Guarantees = Map<Job, { within: boolean; firm: boolean }>;

/** A job that waits for room, where it stands in the queue. */
interface Waiting {
  j: Job;
  g: { within: boolean; firm: boolean };
  due: Ms;
  aged: boolean;
}

/** Who comes first: ranks, guarantees, and the objectives that can still be kept. */
export class Order {
  private readonly objectives = new Map<string, { wait: boolean; withinMs: Ms }[]>();
  /** how many times their deadlines' time jobs of a class may take, for each objective about deadlines */
  private readonly deadlineTimes = new Map<string, number[]>();
  /** those of all classes: which class a deadline came from isn't inherited */
  private readonly inheritedTimes: number[];

  constructor(
    private readonly context: Context,
    private readonly work: Work,
  ) {
    for (const o of context.settings.objectives) {
      if (o.cls !== null && o.kind === 'deadline')
        this.deadlineTimes.set(o.cls, [...(this.deadlineTimes.get(o.cls) ?? []), o.times ?? 1]);
      if (o.cls === null || o.withinS === null || (o.kind !== 'wait' && o.kind !== 'finished')) continue;
      const list = this.objectives.get(o.cls) ?? [];
      list.push({ wait: o.kind === 'wait', withinMs: o.withinS * 1000 });
      this.objectives.set(o.cls, list);
    }
    const times = new Set([...this.deadlineTimes.values()].flat());
    this.inheritedTimes = times.size > 0 ? [...times] : [1];
  }

  /**
   * Which jobs are within their team's guarantee, and which are protected by it: a team
   * without a guarantee in what a job uses has nothing to protect it with.
   */
  guarantees(): Guarantees {
    const out: Guarantees = new Map();
    const sums = this.context.settings.teams.map(() => ({ cpus: 0, gpus: 0 }));
    const jobs = [...this.context.table.jobs.values()]
      .filter((j) => j.state === 'live' && !j.waits && this.work.held.has(j.share))
      .sort((a, b) => a.stamp - b.stamp);
    for (const j of jobs) {
      const t = this.context.settings.teams[j.team];
      const s = sums[j.team];
      if (!t || !s) continue;
      const left = j.spec.tasks - (j.spec.shape === 'array' ? j.doneCount : 0);
      s.cpus += j.spec.cpus * left;
      s.gpus += j.spec.gpus * left;
      const promised = t.cpus > 0 || t.gpus > 0;
      const cpusOk = t.cpus <= 0 || s.cpus <= t.cpus + 1e-6;
      const gpusOk = t.gpus <= 0 || s.gpus <= t.gpus + 1e-6;
      // A team without any guarantee has none to be within: a guest's work gives way to all others'.
      const within = promised && cpusOk && gpusOk;
      const guarded = (t.cpus > 0 && j.spec.cpus > 0) || (t.gpus > 0 && j.spec.gpus > 0);
      out.set(j, { within, firm: within && guarded });
    }
    return out;
  }

  /**
   * When the job should start: the next of its class's objectives that can still be kept.
   * Work that has missed them all comes after what hasn't.
   */
  dueOf(j: Job, now: Ms): Ms {
    return this.dues(j, now)[0] ?? this.noneLeft(j);
  }

  /** By when the job's last task should start, for each objective that can still be kept, soonest first. */
  private dues(j: Job, now: Ms): Ms[] {
    const fetch = j.spec.imageGb * 1000;
    const run = j.runMs;
    const out: Ms[] = [];
    for (const o of this.objectives.get(j.spec.cls) ?? []) {
      const at = j.arrivedAt + o.withinMs - (o.wait ? fetch : run + fetch);
      if (at > now - 1000) out.push(at);
    }
    for (const at of this.latestStarts(j)) if (at > now - 1000) out.push(at);
    return out.sort((a, b) => a - b);
  }

  /**
   * By when the job should start for its own deadline, if its class has objectives about them, or for those of the
   * jobs that need it. Stored times are of the time of day.
   */
  private latestStarts(j: Job): Ms[] {
    const own = this.deadlineTimes.get(j.spec.cls);
    const inherited = j.endBy < j.deadlineAt;
    if (own === undefined && !inherited) return [];
    const startBy = j.endBy - this.context.table.wallOffset - expectedMs(j);
    const times = inherited ? this.inheritedTimes : (own ?? [1]);
    return times.map((factor) => startBy + (factor - 1) * j.endBySpan);
  }

  private noneLeft(j: Job): Ms {
    return j.arrivedAt + (this.objectives.has(j.spec.cls) ? 1e7 : (j.spec.deadlineS ?? 600) * 1000);
  }

  /** A gang that has waited for so long goes before all others of its rank. */
  private aged(j: Job, now: Ms): boolean {
    return j.spec.shape === 'gang' && now - j.arrivedAt > AGED_PLAN_WAITS * this.context.settings.policy.planWaitS * 1000;
  }

  /** All jobs held here that have tasks without a place, in the order they are planned for. */
  queue(guar: Guarantees, now: Ms): Waiting[] {
    const out: Waiting[] = [];
    for (const j of this.context.table.jobs.values()) {
      if (j.waits || !this.work.held.has(j.share) || j.state !== 'live' || j.pendingCount() === 0) continue;
      out.push({ j, g: guar.get(j) ?? { within: false, firm: false }, due: this.dueOf(j, now), aged: this.aged(j, now) });
    }
    this.postpone(out, now);
    return out.sort(
      (a, b) =>
        b.j.rank - a.j.rank ||
        Number(b.aged) - Number(a.aged) ||
        (a.aged ? a.j.stamp - b.j.stamp : 0) ||
        Number(b.g.within) - Number(a.g.within) ||
        a.due - b.due ||
        a.j.stamp - b.j.stamp,
    );
  }

  /**
   * When more arrays wait than can be started in time, going by their due times makes nearly
   * all of them late. The largest of those due so far are put off to their next objective
   * until the rest can be kept (Moore and Hodgson's rule: the fewest late). Tried on days
   * when three times as many came: a fifth of the arrays missed their times, and less was
   * in the way than that.
   */
  private postpone(queue: Waiting[], now: Ms): void {
    const shares = new Map<string, Waiting[]>();
    for (const w of queue) {
      // Of the lowest rank there may be hundreds, and others' room to wait for: they go as they came.
      if (w.j.rank === 0 || w.j.spec.shape !== 'array' || w.j.spec.gpus > 0 || this.work.blame.broken(w.j)) continue;
      const key = `${w.j.share}/${w.j.rank}/${w.g.within}`;
      const list = shares.get(key);
      if (list) list.push(w);
      else shares.set(key, [w]);
    }
    for (const list of shares.values()) {
      if (list.length < 2) continue;
      const pace = this.pace((list[0] as Waiting).j);
      if (pace <= 0) continue;
      const open = list.map((w) => ({
        w,
        dues: this.dues(w.j, now),
        ms: (w.j.pendingCount() * w.j.runMs * w.j.spec.cpus) / pace,
      }));
      for (let again = true; again; ) {
        again = false;
        const timed = open.filter((o) => o.dues.length > 0).sort((a, b) => (a.dues[0] as Ms) - (b.dues[0] as Ms));
        const kept: typeof open = [];
        let end = now;
        for (const o of timed) {
          kept.push(o);
          end += o.ms;
          if (end <= (o.dues[0] as Ms)) continue;
          let largest = 0;
          for (let k = 1; k < kept.length; k++) if ((kept[k] as typeof o).ms > (kept[largest] as typeof o).ms) largest = k;
          const off = kept.splice(largest, 1)[0] as typeof o;
          off.dues.shift();
          end -= off.ms;
          again = true;
        }
      }
      // What can keep none of its times any more comes last, the shortest first; what hasn't
      // begun for too long comes before all: being last must not mean never.
      for (const o of open) {
        const late = o.w.j.doneCount === 0 && o.w.j.placements.size === 0 && now - o.w.j.arrivedAt > LONGEST_WAIT_MS;
        o.w.due = late ? o.w.j.arrivedAt : (o.dues[0] ?? now + 1e7 + o.ms);
      }
    }
  }

  /** CPUs that independent tasks of the job's rank have in its share, about what comes free for more. */
  private pace(job: Job): number {
    let cpus = 0;
    for (const j of this.context.table.jobs.values()) {
      if (j.share !== job.share || j.spec.shape !== 'array' || j.spec.gpus > 0 || j.rank !== job.rank) continue;
      cpus += j.placements.size * j.spec.cpus;
    }
    return cpus;
  }
}
