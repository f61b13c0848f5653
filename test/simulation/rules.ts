/** Checks the rules from outside: against the workers' tasks and the responses to users, never against controllers' state. */
import type { JobSpec, TaskStatus } from '@archpost/protocol';
import type { SimulatedCluster } from './cluster.js';
import { settings } from './fixtures.js';
import type { SimulatedWorker } from './worker.js';

/** Time limit of a cancellation, as in the settings of the simulated controllers. */
const CANCEL_MS = settings('n0').workers.cancelS * 1000;

/** A task that was on a worker during the current step. */
interface TaskOnWorker {
  worker: SimulatedWorker;
  key: string;
  task: TaskStatus;
}

/** Checks the rules of PROTOCOL, and those that LATER.md adds for jobs with dependencies. */
export class RuleChecker {
  /** time of the first response that reported the job as done, by job id */
  private readonly doneAt = new Map<string, number>();
  /** the workers' tasks by job, and the step for which they were indexed */
  private readonly tasksByJob = new Map<string, TaskOnWorker[]>();
  private indexedAt = -1;

  constructor(private readonly cluster: SimulatedCluster) {}

  /** Checks `ran_twice`, `wrong_place`, `too_early` and `ran_cancelled` when a worker starts a task. */
  checkStart(worker: SimulatedWorker, id: string, index: number): void {
    const { cluster } = this;
    const spec = cluster.specs.get(id) as JobSpec;
    for (const dependency of cluster.awaits.get(id) ?? [])
      if (!cluster.allTasksDone(dependency)) cluster.fail(`too_early: ${id}/${index} starts before ${dependency} is done`);
    this.checkPlace(worker, spec, index);
    if (this.isOverdue(this.cancelledAt(id))) cluster.fail(`ran_cancelled: ${id} starts`);
  }

  private checkPlace(worker: SimulatedWorker, spec: JobSpec, index: number): void {
    const { cluster } = this;
    let inZone = 0;
    for (const { worker: other, key, task } of this.tasksOf(spec.id)) {
      if (other.dead || other.tasks.get(key) !== task || task.state === 'exited') continue;
      if (task.index === index) cluster.fail(`ran_twice: ${spec.id}/${index} on ${other.name} and ${worker.name}`);
      if (spec.oneZone && other.zone !== worker.zone) cluster.fail(`wrong_place: ${spec.id} in two zones`);
      if (other.zone === worker.zone) inZone++;
    }
    if (spec.spread && inZone >= Math.ceil(spec.tasks / 2)) cluster.fail(`wrong_place: ${spec.id} not spread`);
    if (spec.zone !== null && spec.zone !== worker.zone) cluster.fail(`wrong_place: ${spec.id} in ${worker.zone}`);
    if (spec.machineTypes !== null && !spec.machineTypes.includes(worker.type))
      cluster.fail(`wrong_place: ${spec.id} on a ${worker.type}`);
    if (worker.spot && !spec.allowsSpot) cluster.fail(`wrong_place: ${spec.id} on a spot machine`);
  }

  /** Records a task that a worker started in the current step. */
  recordStart(worker: SimulatedWorker, key: string, task: TaskStatus): void {
    const jobTasks = this.tasksByJob.get(task.job);
    if (jobTasks) jobTasks.push({ worker, key, task });
    else this.tasksByJob.set(task.job, [{ worker, key, task }]);
  }

  /** Returns all tasks of the job that were on workers at the first start of the current step, or were started since. */
  private tasksOf(id: string): readonly TaskOnWorker[] {
    if (this.indexedAt !== this.cluster.now) this.indexTasksByJob();
    return this.tasksByJob.get(id) ?? [];
  }

  /** Indexes the workers' tasks once per step: scanning thousands of machines at each start took most of a test's time. */
  private indexTasksByJob(): void {
    this.indexedAt = this.cluster.now;
    this.tasksByJob.clear();
    for (const worker of this.cluster.workers) for (const [key, task] of worker.tasks) this.recordStart(worker, key, task);
  }

  /** Checks `quota`, `ran_cancelled` and `orphaned` against the tasks that are on the machines now. */
  checkStep(): void {
    const { cluster } = this;
    this.indexedAt = -1;
    const usage = new Map<string, number>();
    for (const worker of cluster.workers) {
      if (worker.dead) continue;
      for (const task of worker.tasks.values()) {
        if (task.state === 'exited') continue;
        const spec = cluster.specs.get(task.job) as JobSpec;
        usage.set(spec.team, (usage.get(spec.team) ?? 0) + spec.gpus);
        if (this.isOverdue(this.cancelledAt(task.job))) cluster.fail(`ran_cancelled: ${task.job} on ${worker.name}`);
        if (this.isOverdue(this.doneAt.get(task.job)))
          cluster.fail(`orphaned: ${task.job}/${task.index} still runs, but its job was reported done`);
      }
    }
    for (const team of cluster.tune(settings('n0', cluster.names)).teams)
      if ((usage.get(team.name) ?? 0) > team.maxGpus) cluster.fail(`quota: ${team.name}`);
  }

  /**
   * Records a status of the job that a user received. Checks `orphaned`: a job must not be reported active longer than
   * `CANCEL_MS` after the job or one of its dependencies was reported cancelled.
   */
  recordReportedStatus(id: string, status: string): void {
    const { cluster } = this;
    if (status === 'aborted' && !cluster.cancelledAt.has(id)) cluster.cancelledAt.set(id, cluster.now);
    if (status === 'done' && !this.doneAt.has(id)) this.doneAt.set(id, cluster.now);
    if ((status === 'queued' || status === 'running') && this.isOverdue(this.cancelledAt(id)))
      cluster.fail(`orphaned: ${id} is reported ${status}, but it or one of its dependencies was cancelled`);
  }

  /** Returns the time of the first response that reported the job or one of its direct or transitive dependencies as cancelled. */
  private cancelledAt(id: string): number | undefined {
    let earliest = this.cluster.cancelledAt.get(id);
    // This is called for every task in every step, and most jobs have no dependencies.
    if (!this.cluster.awaits.has(id)) return earliest;
    const seen = new Set([id]);
    const unvisited = [...(this.cluster.awaits.get(id) ?? [])];
    for (let dependency = unvisited.pop(); dependency !== undefined; dependency = unvisited.pop()) {
      if (seen.has(dependency)) continue;
      seen.add(dependency);
      const at = this.cluster.cancelledAt.get(dependency);
      if (at !== undefined && (earliest === undefined || at < earliest)) earliest = at;
      unvisited.push(...(this.cluster.awaits.get(dependency) ?? []));
    }
    return earliest;
  }

  private isOverdue(since: number | undefined): boolean {
    return since !== undefined && this.cluster.now - since > CANCEL_MS;
  }
}
