/** Binding: records placement decisions as planned allocations. The command dispatcher sends the starts later. */
import type { TaskAllocations } from '../allocation/index.js';
import { type FreeResources, type Job, type Machine, subtract } from '../model/index.js';
import type { SchedulingRun } from './scheduling-run.js';

/** Allocates machines to tasks, and counts each allocation in the run's team usage and in the machine's free resources. */
export class Binder {
  constructor(private readonly allocations: TaskAllocations) {}

  /** Allocates the machine to one task of an array or service. */
  bindTask(job: Job, taskIndex: number, free: FreeResources, run: SchedulingRun): void {
    subtract(free, job.resources);
    this.allocations.allocate({
      job,
      taskIndex,
      attempt: this.allocations.heldShards.nextAttempt(job.shard),
      machine: free.machine,
      phase: 'planned',
      plannedAt: run.now,
    });
    run.usage.add(job);
  }

  /**
   * Allocates one element of `machines` to each pending task of the gang, all under one attempt. No task may have an
   * allocation yet.
   */
  bindGang(job: Job, machines: readonly Machine[], candidates: readonly FreeResources[], run: SchedulingRun): void {
    const attempt = this.allocations.heldShards.nextAttempt(job.shard);
    job.tenure.gangAttempt = attempt;
    job.tenure.gangFailed = false;
    const pendingTasks = job.pendingTasks();
    for (const [index, taskIndex] of pendingTasks.entries()) {
      const machine = machines[index];
      if (machine === undefined) break;
      const free = candidates.find((candidate) => candidate.machine === machine);
      if (free) subtract(free, job.resources);
      this.allocations.allocate({ job, taskIndex, attempt, machine, phase: 'planned', plannedAt: run.now });
      run.usage.add(job);
    }
  }
}
