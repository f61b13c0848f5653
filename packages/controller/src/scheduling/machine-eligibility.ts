/**
 * Eligibility: which machines a job may use at present, beyond its own constraints. Machines with accelerators are kept for
 * work that needs them, for a limited time or for as long as such work waits. Owns the set of shards whose accelerator work
 * didn't fit.
 */
import type { MachineType } from '@archpost/protocol';
import { freeResourcesOf, type TaskAllocations, type UnmetDemand } from '../allocation/index.js';
import type { CapacityView, ClusterStateView } from '../context/index.js';
import { fits, type Job, type Machine, type Milliseconds, RESOURCE_TOLERANCE, SCARCE_MACHINE_WAIT_S } from '../model/index.js';
import type { GpuMachines } from './gpu-machines.js';
import { isAllowedOn } from './placement-constraints.js';
import type { QueueOrder } from './queue-order.js';

/** How long a service waits for other machines before it may use one with accelerators of a type that can't be provisioned. */
const SERVICE_WAIT_MS = {
  /** the machine is dedicated to services */
  dedicatedMachine: 800,
  /** accelerator work still fits beside the service */
  spareCapacity: 1500,
  /** the service fits on another machine that is dedicated to services, which it should use instead */
  fitsOnOtherDedicatedMachine: 30_000,
  /** none of the above */
  scarceMachine: SCARCE_MACHINE_WAIT_S * 1000,
} as const;

/** Two are enough to find one other than the machine under consideration. */
const MAX_DEDICATED_MACHINES = 2;

/** A new machine is expected within this multiple of its type's boot time. */
const BOOT_TIME_MARGIN = 1.5;

/** Run time estimates are often wrong by as much as half of the run, so this fraction of the run is added as a margin. */
const RUN_TIME_MARGIN = 0.5;

/** A start deadline further away than this belongs to a job that has missed all of its deadlines. */
const MISSED_ALL_DEADLINES_SLACK_MS = 1e6;

/** The components that eligibility decisions depend on. */
interface EligibilityDependencies {
  readonly context: ClusterStateView & CapacityView;
  readonly allocations: TaskAllocations;
  readonly queueOrder: QueueOrder;
  readonly gpuMachines: GpuMachines;
}

/** Determines which machines a job may use at present. */
export class MachineEligibility {
  private readonly shardsWithWaitingGpuWork = new Set<number>();

  constructor(private readonly dependencies: EligibilityDependencies) {}

  /** Records the work that didn't fit in a scheduling run. It affects eligibility in the next run. */
  recordUnmetDemand(unmetDemand: readonly UnmetDemand[]): void {
    this.shardsWithWaitingGpuWork.clear();
    for (const { job } of unmetDemand) if (job.spec.gpus > 0) this.shardsWithWaitingGpuWork.add(job.shard);
  }

  /** Returns the eligibility of machines for the job. `waitedMs`: how long some of the job's tasks have had no machine. */
  forJob(job: Job, waitedMs: Milliseconds, now: Milliseconds): JobEligibility {
    const hasWaitingGpuWork = this.shardsWithWaitingGpuWork.has(job.shard);
    return new JobEligibility(this.dependencies, { job, waitedMs, now, hasWaitingGpuWork });
  }
}

/** The job for which eligibility is determined, and the time. */
interface EligibilityRequest {
  readonly job: Job;
  /** how long some of the job's tasks have had no machine */
  readonly waitedMs: Milliseconds;
  readonly now: Milliseconds;
  /** whether accelerator work of the job's shard didn't fit in the last run */
  readonly hasWaitingGpuWork: boolean;
}

/** Determines which machines one job may use. Created at the job's turn; no machine may change while it is in use. */
export class JobEligibility {
  private dedicatedMachines: readonly Machine[] | null = null;
  private tooLateForNewMachine: boolean | null = null;

  constructor(
    private readonly dependencies: EligibilityDependencies,
    private readonly request: EligibilityRequest,
  ) {}

  /** Whether the job may use the machine, provided that its constraints allow the machine and a task fits. */
  mayUse(machine: Machine): boolean {
    const { job, waitedMs, now } = this.request;
    if (job.spec.gpus > 0) return true;
    if (now < machine.reservedUntil) return false;
    // Image fetches share the machine's fetch rate: a small image would delay a gang's large one.
    if (!machine.images.has(job.imageIndex) && isFetchingForGpuWork(machine)) return false;
    if (!machine.capacity || machine.capacity.gpus === 0 || machine.spot) return true;
    if (job.spec.shape !== 'service') return this.arrayMayUseGpuMachine(machine, machine.capacity);
    if (this.dependencies.context.isTypeAvailable(machine.capacity.name)) return true;
    return waitedMs > this.serviceWaitMs(machine);
  }

  /**
   * Returns how long a service has to wait before it may use the machine, of whose type no more can be provisioned. A service
   * would block accelerator work there for hours, so it first waits for some time for another machine to become free. One
   * machine dedicated to services keeps the others available for accelerator work.
   */
  private serviceWaitMs(machine: Machine): Milliseconds {
    const { gpuMachines } = this.dependencies;
    if (gpuMachines.isDedicatedToServices(machine)) return SERVICE_WAIT_MS.dedicatedMachine;
    if (gpuMachines.leavesCapacityForGpuWork(machine, this.request.job.resources)) return SERVICE_WAIT_MS.spareCapacity;
    this.dedicatedMachines ??= this.findDedicatedMachines();
    const hasOtherDedicated = this.dedicatedMachines.some((other) => other !== machine);
    return hasOtherDedicated ? SERVICE_WAIT_MS.fitsOnOtherDedicatedMachine : SERVICE_WAIT_MS.scarceMachine;
  }

  /**
   * Returns machines that are dedicated to services and on which the job's next task fits, at most `MAX_DEDICATED_MACHINES`.
   */
  private findDedicatedMachines(): Machine[] {
    const result: Machine[] = [];
    for (const machine of this.dependencies.context.clusterState.machines.values()) {
      if (result.length === MAX_DEDICATED_MACHINES) break;
      if (this.isDedicatedWithCapacity(machine)) result.push(machine);
    }
    return result;
  }

  private isDedicatedWithCapacity(machine: Machine): boolean {
    const { job, now } = this.request;
    return (
      machine.shard === job.shard &&
      this.dependencies.gpuMachines.isDedicatedToServices(machine) &&
      this.dependencies.allocations.isSchedulable(machine, now) &&
      isAllowedOn(job, machine) &&
      fits(job.resources, freeResourcesOf(machine))
    );
  }

  /**
   * Whether independent tasks without accelerators may use the machine. They may occupy an expensive machine alone only when
   * waiting for a new machine would make them late.
   */
  private arrayMayUseGpuMachine(machine: Machine, capacity: MachineType): boolean {
    const { context, gpuMachines } = this.dependencies;
    const { job, hasWaitingGpuWork } = this.request;
    const gpuDemand = context.clusterState.gpuDemandByType.get(machine.typeIndex);
    if (!gpuDemand) return true;
    // No more machines of this type can be provisioned, but the accelerator work has a higher priority and can preempt the
    // job: the job does no harm there.
    if (gpuDemand.priority > job.priority && !context.isTypeAvailable(capacity.name)) return true;
    // Beside other work that prevents the machine's release the job costs nothing; alone it would prevent the release.
    const cpusWithTask = addNonGpuCpus(machine, job.spec.cpus);
    if (cpusWithTask <= capacity.cpus - gpuDemand.cpus + RESOURCE_TOLERANCE && gpuMachines.isOccupied(machine)) return true;
    if (hasWaitingGpuWork) return false;
    this.tooLateForNewMachine ??= this.isTooLateForNewMachine();
    return this.tooLateForNewMachine;
  }

  private isTooLateForNewMachine(): boolean {
    const { context, queueOrder } = this.dependencies;
    const { job, now } = this.request;
    const slackMs = queueOrder.startDeadlineOf(job, now) - now;
    const newMachineMs = context.clusterState.bootTimeFor(job) * BOOT_TIME_MARGIN + job.expectedRunMs * RUN_TIME_MARGIN;
    return slackMs < newMachineMs || slackMs > MISSED_ALL_DEADLINES_SLACK_MS;
  }
}

/** Whether an image that accelerator work on the machine waits for is being fetched, or is about to be. */
function isFetchingForGpuWork(machine: Machine): boolean {
  for (const { job, phase, stopGraceS, status } of machine.tenure.allocations.values()) {
    if (job.spec.gpus === 0 || phase === 'exited' || stopGraceS !== null || machine.images.has(job.imageIndex)) continue;
    if (phase !== 'reported' || status?.state === 'fetching') return true;
  }
  return false;
}

/** Returns `cpus` plus the processor cores that work without accelerators uses on the machine. */
function addNonGpuCpus(machine: Machine, cpus: number): number {
  let sum = cpus;
  for (const allocation of machine.tenure.allocations.values())
    if (allocation.phase !== 'exited' && allocation.job.spec.gpus === 0) sum += allocation.job.spec.cpus;
  return sum;
}
