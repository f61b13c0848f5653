/**
 * Retries of crash-looping jobs: a job that fails on every machine is retried from time to time, after all other jobs and only
 * where it fits. No work is stopped or moved for it, and no machine is provisioned.
 */
import type { TaskAllocations } from '../allocation/index.js';
import { type FreeResources, fits, type Job } from '../model/index.js';
import type { Binder } from './binding.js';
import { placeGang } from './gang-placement.js';
import type { MachineScoring } from './machine-scoring.js';
import { countTaskInZone, isAllowedOn, tasksPerZone, zoneAllowsTask } from './placement-constraints.js';
import type { SchedulingRun } from './scheduling-run.js';

/** Places the tasks of crash-looping jobs whose retry is due. */
export class CrashLoopRetries {
  constructor(
    private readonly allocations: TaskAllocations,
    private readonly machineScoring: MachineScoring,
    private readonly binder: Binder,
  ) {}

  /** Retries some of the job's tasks. The job's next retry is delayed whether or not a task fits. */
  retry(job: Job, run: SchedulingRun): void {
    const candidates = run.unreserved.filter(({ machine }) => {
      const hasGpus = (machine.capacity?.gpus ?? 0) > 0;
      return machine.shard === job.shard && isAllowedOn(job, machine) && job.spec.gpus > 0 === hasGpus;
    });
    const retries = this.allocations.failureAttribution.beginRetry(job, run.now);
    const count = Math.min(retries, run.usage.remainingTasks(job));
    if (job.spec.shape === 'gang') this.retryGang(job, count, candidates, run);
    else this.retryTasks(job, count, candidates, run);
  }

  private retryGang(job: Job, count: number, candidates: FreeResources[], run: SchedulingRun): void {
    if (job.tenure.gangAttempt !== null || job.tenure.allocations.size > 0 || count < job.spec.tasks) return;
    const machines = placeGang(job, count, candidates, (free) => this.machineScoring.score(job, free));
    if (machines) this.binder.bindGang(job, machines, candidates, run);
  }

  /** Prefers machines that have the job's image, so that a retry causes no image fetch at the expense of other jobs. */
  private retryTasks(job: Job, count: number, candidates: FreeResources[], run: SchedulingRun): void {
    const tasksInZones = tasksPerZone(job);
    candidates.sort((a, b) => Number(b.machine.images.has(job.imageIndex)) - Number(a.machine.images.has(job.imageIndex)));
    for (let placed = 0; placed < count; placed++) {
      const free = candidates.find(
        (candidate) => fits(job.resources, candidate) && zoneAllowsTask(job, tasksInZones, candidate.machine.zoneIndex),
      );
      const taskIndex = free ? job.nextPendingTaskUntriedFirst() : -1;
      if (!free || taskIndex < 0) return;
      this.binder.bindTask(job, taskIndex, free, run);
      countTaskInZone(tasksInZones, free.machine.zoneIndex);
    }
  }
}
