import type { TaskAllocations } from '../allocation/task-allocations.js';
import type { ControllerContext } from '../context/index.js';
import type { Job, Milliseconds } from '../model/index.js';
import { expectedDurationMs } from '../state/job-dependencies.js';

/** A gang that has waited for this many plan waits is aged. */
const AGED_PLAN_WAITS = 6;

/** An array of which nothing has begun for this long comes before others: users wait four minutes at most. */
const LONGEST_WAIT_MS = 180_000;

/** Whether jobs are within their team's guarantee, and whether they are protected by it. */
export type QuotaStatuses = Map<Job, { withinQuota: boolean; isProtected: boolean }>;

/** A job that waits for room, where it stands in the queue. */
interface QueuedJob {
  j: Job;
  g: { withinQuota: boolean; isProtected: boolean };
  due: Milliseconds;
  aged: boolean;
}

/** Who comes first: ranks, guarantees, and the objectives that can still be kept. */
export class QueueOrder {
  private readonly objectives = new Map<string, { wait: boolean; withinMs: Milliseconds }[]>();
  /** how many times their deadlines' time jobs of a class may take, for each objective about deadlines */
  private readonly deadlineTimes = new Map<string, number[]>();
  /** those of all classes: which class a deadline came from isn't inherited */
  private readonly inheritedTimes: number[];

  constructor(
    private readonly context: ControllerContext,
    private readonly allocations: TaskAllocations,
  ) {
    for (const o of context.settings.objectives) {
      if (o.jobClass !== null && o.kind === 'deadline')
        this.deadlineTimes.set(o.jobClass, [...(this.deadlineTimes.get(o.jobClass) ?? []), o.deadlineMultiple ?? 1]);
      if (o.jobClass === null || o.withinS === null || (o.kind !== 'wait' && o.kind !== 'finished')) continue;
      const list = this.objectives.get(o.jobClass) ?? [];
      list.push({ wait: o.kind === 'wait', withinMs: o.withinS * 1000 });
      this.objectives.set(o.jobClass, list);
    }
    const times = new Set([...this.deadlineTimes.values()].flat());
    this.inheritedTimes = times.size > 0 ? [...times] : [1];
  }

  /**
   * Which jobs are within their team's guarantee, and which are protected by it: a team
   * without a guarantee in what a job uses has nothing to protect it with.
   */
  quotaStatuses(): QuotaStatuses {
    const out: QuotaStatuses = new Map();
    const sums = this.context.settings.teams.map(() => ({ cpus: 0, gpus: 0 }));
    const jobs = [...this.context.clusterState.jobs.values()]
      .filter((j) => j.state === 'live' && !j.isBlocked && this.allocations.heldShards.has(j.shard))
      .sort((a, b) => a.modRevision - b.modRevision);
    for (const j of jobs) {
      const t = this.context.settings.teams[j.teamIndex];
      const s = sums[j.teamIndex];
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
      out.set(j, { withinQuota: within, isProtected: within && guarded });
    }
    return out;
  }

  /**
   * When the job should start: the next of its class's objectives that can still be kept.
   * Work that has missed them all comes after what hasn't.
   */
  startDeadlineOf(j: Job, now: Milliseconds): Milliseconds {
    return this.startDeadlines(j, now)[0] ?? this.startDeadlineWithoutObjective(j);
  }

  /** By when the job's last task should start, for each objective that can still be kept, soonest first. */
  private startDeadlines(j: Job, now: Milliseconds): Milliseconds[] {
    const fetch = j.spec.imageGb * 1000;
    const run = j.expectedRunMs;
    const out: Milliseconds[] = [];
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
  private latestStarts(j: Job): Milliseconds[] {
    const own = this.deadlineTimes.get(j.spec.cls);
    const inherited = j.effectiveDeadlineAt < j.deadlineAt;
    if (own === undefined && !inherited) return [];
    const startBy = j.effectiveDeadlineAt - this.context.clusterState.wallClockOffsetMs - expectedDurationMs(j);
    const times = inherited ? this.inheritedTimes : (own ?? [1]);
    return times.map((factor) => startBy + (factor - 1) * j.effectiveDeadlineSpanMs);
  }

  private startDeadlineWithoutObjective(j: Job): Milliseconds {
    return j.arrivedAt + (this.objectives.has(j.spec.cls) ? 1e7 : (j.spec.deadlineS ?? 600) * 1000);
  }

  /** A gang that has waited for so long goes before all others of its rank. */
  private isAged(j: Job, now: Milliseconds): boolean {
    return j.spec.shape === 'gang' && now - j.arrivedAt > AGED_PLAN_WAITS * this.context.settings.policy.planWaitS * 1000;
  }

  /** All jobs held here that have tasks without a place, in the order they are planned for. */
  queue(guar: QuotaStatuses, now: Milliseconds): QueuedJob[] {
    const out: QueuedJob[] = [];
    for (const j of this.context.clusterState.jobs.values()) {
      if (j.isBlocked || !this.allocations.heldShards.has(j.shard) || j.state !== 'live' || j.pendingCount() === 0) continue;
      out.push({
        j,
        g: guar.get(j) ?? { withinQuota: false, isProtected: false },
        due: this.startDeadlineOf(j, now),
        aged: this.isAged(j, now),
      });
    }
    this.postponeLargest(out, now);
    return out.sort(
      (a, b) =>
        b.j.priority - a.j.priority ||
        Number(b.aged) - Number(a.aged) ||
        (a.aged ? a.j.modRevision - b.j.modRevision : 0) ||
        Number(b.g.withinQuota) - Number(a.g.withinQuota) ||
        a.due - b.due ||
        a.j.modRevision - b.j.modRevision,
    );
  }

  /**
   * When more arrays wait than can be started in time, going by their due times makes nearly
   * all of them late. The largest of those due so far are put off to their next objective
   * until the rest can be kept (Moore and Hodgson's rule: the fewest late). Tried on days
   * when three times as many came: a fifth of the arrays missed their times, and less was
   * in the way than that.
   */
  private postponeLargest(queue: QueuedJob[], now: Milliseconds): void {
    const shares = new Map<string, QueuedJob[]>();
    for (const w of queue) {
      // Of the lowest rank there may be hundreds, and others' room to wait for: they go as they came.
      if (
        w.j.priority === 0 ||
        w.j.spec.shape !== 'array' ||
        w.j.spec.gpus > 0 ||
        this.allocations.failureAttribution.isCrashLooping(w.j)
      )
        continue;
      const key = `${w.j.shard}/${w.j.priority}/${w.g.withinQuota}`;
      const list = shares.get(key);
      if (list) list.push(w);
      else shares.set(key, [w]);
    }
    for (const list of shares.values()) {
      if (list.length < 2) continue;
      const pace = this.cpusInUseByPeers((list[0] as QueuedJob).j);
      if (pace <= 0) continue;
      const open = list.map((w) => ({
        w,
        dues: this.startDeadlines(w.j, now),
        ms: (w.j.pendingCount() * w.j.expectedRunMs * w.j.spec.cpus) / pace,
      }));
      for (let again = true; again; ) {
        again = false;
        const timed = open
          .filter((o) => o.dues.length > 0)
          .sort((a, b) => (a.dues[0] as Milliseconds) - (b.dues[0] as Milliseconds));
        const kept: typeof open = [];
        let end = now;
        for (const o of timed) {
          kept.push(o);
          end += o.ms;
          if (end <= (o.dues[0] as Milliseconds)) continue;
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
        const late = o.w.j.doneCount === 0 && o.w.j.allocations.size === 0 && now - o.w.j.arrivedAt > LONGEST_WAIT_MS;
        o.w.due = late ? o.w.j.arrivedAt : (o.dues[0] ?? now + 1e7 + o.ms);
      }
    }
  }

  /** CPUs that independent tasks of the job's rank have in its share, about what comes free for more. */
  private cpusInUseByPeers(job: Job): number {
    let cpus = 0;
    for (const j of this.context.clusterState.jobs.values()) {
      if (j.shard !== job.shard || j.spec.shape !== 'array' || j.spec.gpus > 0 || j.priority !== job.priority) continue;
      cpus += j.allocations.size * j.spec.cpus;
    }
    return cpus;
  }
}
