/** Placement of arrays and services: each task separately, on the machine with the highest score. */
import type { FreeResources, Job, Milliseconds } from '../model/index.js';
import type { Binder } from './binding.js';
import { CandidateMachines } from './candidate-machines.js';
import type { MachineEligibility } from './machine-eligibility.js';
import type { MachineScoring } from './machine-scoring.js';
import { countTaskInZone, tasksPerZone } from './placement-constraints.js';
import { hasProtectedWork, type Preemption } from './preemption.js';
import type { QueuedJob } from './queued-job.js';
import type { SchedulingRun } from './scheduling-run.js';

/** A service whose best machine has a lower score than this, in seconds, may get a better machine by preemption. */
const MIN_SERVICE_SCORE = -1;

/** Other work is stopped for a better machine only if the service's score improves by at least this much, in seconds. */
const MIN_SCORE_GAIN = 1;

/** Places independent tasks, with preemption where it is allowed. */
export class TaskPlacement {
  constructor(
    private readonly machineEligibility: MachineEligibility,
    private readonly machineScoring: MachineScoring,
    private readonly preemption: Preemption,
    private readonly binder: Binder,
  ) {}

  /** Places as many tasks as fit. Returns how many of the tasks that the team's quota allows didn't fit. */
  place(queued: QueuedJob, freeResources: readonly FreeResources[], run: SchedulingRun): number {
    const { job } = queued;
    const pending = job.pendingCount();
    const allowed = Math.min(pending, run.usage.remainingTasks(job));
    job.waitingSince ??= run.now;
    const candidates = this.candidatesFor(job, freeResources, run.now);
    const placed = this.placeOnCandidates(queued, allowed, candidates, run);
    if (placed === pending) job.waitingSince = null;
    return allowed - placed;
  }

  private candidatesFor(job: Job, freeResources: readonly FreeResources[], now: Milliseconds): CandidateMachines {
    const waitedMs = now - (job.waitingSince ?? now);
    const eligibility = this.machineEligibility.forJob(job, waitedMs, now);
    const usable = freeResources.filter((free) => eligibility.mayUse(free.machine));
    return new CandidateMachines(job, usable, (free) => this.machineScoring.score(job, free));
  }

  /** Places up to `count` tasks. Returns how many were placed. */
  private placeOnCandidates(queued: QueuedJob, count: number, candidates: CandidateMachines, run: SchedulingRun): number {
    const { job } = queued;
    const tasksInZones = tasksPerZone(job);
    for (let placed = 0; placed < count; placed++) {
      const free = this.chooseMachine(queued, candidates, tasksInZones, run);
      const taskIndex = free ? job.nextPendingTask() : -1;
      if (!free || taskIndex < 0) return placed;
      this.binder.bindTask(job, taskIndex, free, run);
      countTaskInZone(tasksInZones, free.machine.zoneIndex);
      this.preemption.recordTaskPlaced(job, run.now);
    }
    return Math.max(0, count);
  }

  /**
   * Returns the best machine on which one more task fits, and stops the victims there if preemption is needed; null if there
   * is none.
   */
  private chooseMachine(
    queued: QueuedJob,
    candidates: CandidateMachines,
    tasksInZones: ReadonlyMap<number, number>,
    run: SchedulingRun,
  ): FreeResources | null {
    const best = candidates.best(tasksInZones);
    const mayGainByPreemption = !best || (queued.job.spec.shape === 'service' && best.score < MIN_SERVICE_SCORE);
    if (!mayGainByPreemption || !this.preemption.mayHaveVictims(queued)) return best?.free ?? null;
    const minScore = best ? best.score + MIN_SCORE_GAIN : Number.NEGATIVE_INFINITY;
    const better = candidates.withHigherScore(minScore, tasksInZones);
    // Protected work is preempted only if the task fits on no machine otherwise, not for a better machine.
    const preemptible = best ? better.filter(({ machine }) => !hasProtectedWork(machine, run.quotaStatuses)) : better;
    return this.preemption.preemptFor(queued, preemptible, run) ?? best?.free ?? null;
  }
}
