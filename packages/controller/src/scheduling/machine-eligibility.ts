/**
 * Eligibility: which machines a job may use at all for now, beyond what its own constraints say. Machines with accelerators
 * are kept for the work that needs them, for a while or as long as it waits. Owns which shards have accelerator work that
 * didn't fit.
 */
import type { MachineType } from '@archpost/protocol';
import { freeResourcesOf, type TaskAllocations, type UnmetDemand } from '../allocation/index.js';
import type { CapacityView, ClusterStateView } from '../context/index.js';
import { fits, type Job, type Machine, type Milliseconds, RESOURCE_TOLERANCE, SCARCE_MACHINE_WAIT_S } from '../model/index.js';
import type { GpuMachines } from './gpu-machines.js';
import { isAllowedOn } from './placement-constraints.js';
import type { QueueOrder } from './queue-order.js';

/** How long a service waits for other machines before it takes one with accelerators of a type that can't be provisioned. */
const SERVICE_WAIT_MS = {
  /** the machine is dedicated to services */
  dedicatedMachine: 800,
  /** accelerator work still fits beside the service */
  spareRoom: 1500,
  /** the service fits on another machine that is dedicated to services, which it should take instead */
  whileDedicatedMachineHasRoom: 30_000,
  /** none of these */
  scarceMachine: SCARCE_MACHINE_WAIT_S * 1000,
} as const;

/** Two are enough to find one other than the machine that is looked at. */
const MAX_DEDICATED_MACHINES = 2;

/** A new machine is expected within this multiple of the boot time of its type. */
const BOOT_TIME_MARGIN = 1.5;

/** Estimates of runs are often wrong by as much as half of the run, which is allowed on top. */
const RUN_TIME_MARGIN = 0.5;

/** A start deadline farther off than this is that of a job that has missed all that it had. */
const MISSED_ALL_DEADLINES_MS = 1e6;

/** What eligibility asks. */
interface EligibilityDependencies {
  readonly context: ClusterStateView & CapacityView;
  readonly allocations: TaskAllocations;
  readonly queueOrder: QueueOrder;
  readonly gpuMachines: GpuMachines;
}

/** Says which machines a job may use for now. */
export class MachineEligibility {
  private readonly shardsWithWaitingGpuWork = new Set<number>();

  constructor(private readonly dependencies: EligibilityDependencies) {}

  /** What didn't fit in a run; it holds for the next run. */
  recordUnmetDemand(unmetDemand: readonly UnmetDemand[]): void {
    this.shardsWithWaitingGpuWork.clear();
    for (const { job } of unmetDemand) if (job.spec.gpus > 0) this.shardsWithWaitingGpuWork.add(job.shard);
  }

  /** `waitedMs`: for how long some of the job's tasks have had no machine. */
  forJob(job: Job, waitedMs: Milliseconds, now: Milliseconds): JobEligibility {
    const hasWaitingGpuWork = this.shardsWithWaitingGpuWork.has(job.shard);
    return new JobEligibility(this.dependencies, { job, waitedMs, now, hasWaitingGpuWork });
  }
}

/** The job that asks, and when. */
interface EligibilityRequest {
  readonly job: Job;
  /** for how long some of its tasks have had no machine */
  readonly waitedMs: Milliseconds;
  readonly now: Milliseconds;
  /** whether accelerator work of its shard didn't fit in the last run */
  readonly hasWaitingGpuWork: boolean;
}

/** Which machines one job may use. Made when the job's turn comes; no machine may change while it is in use. */
export class JobEligibility {
  private dedicatedMachines: readonly Machine[] | null = null;
  private tooLateForNewMachine: boolean | null = null;

  constructor(
    private readonly dependencies: EligibilityDependencies,
    private readonly request: EligibilityRequest,
  ) {}

  /** May the job use the machine, if its constraints allow it and a task fits? */
  mayUse(machine: Machine): boolean {
    const { job, waitedMs, now } = this.request;
    if (job.spec.gpus > 0) return true;
    if (now < machine.reservedUntil) return false;
    // Fetches share a machine's rate: a small image would hold up a gang's large one.
    if (!machine.images.has(job.imageIndex) && isFetchingForGpuWork(machine)) return false;
    if (!machine.capacity || machine.capacity.gpus === 0 || machine.spot) return true;
    if (job.spec.shape !== 'service') return this.arrayMayUseGpuMachine(machine, machine.capacity);
    if (this.dependencies.context.isTypeAvailable(machine.capacity.name)) return true;
    return waitedMs > this.serviceWaitMs(machine);
  }

  /**
   * Where no more of them can be had, services keep off machines with accelerators until nothing else has come free for a
   * while: there they would be in the way for hours. One machine dedicated to services leaves the others to the work that
   * they are made for.
   */
  private serviceWaitMs(machine: Machine): Milliseconds {
    const { gpuMachines } = this.dependencies;
    if (gpuMachines.isDedicatedToServices(machine)) return SERVICE_WAIT_MS.dedicatedMachine;
    if (gpuMachines.leavesRoomForGpuWork(machine, this.request.job.resources)) return SERVICE_WAIT_MS.spareRoom;
    this.dedicatedMachines ??= this.findDedicatedMachines();
    const isOtherDedicated = this.dedicatedMachines.some((other) => other !== machine);
    return isOtherDedicated ? SERVICE_WAIT_MS.whileDedicatedMachineHasRoom : SERVICE_WAIT_MS.scarceMachine;
  }

  /** Machines that are dedicated to services and on which the job's next task fits, a few at most. */
  private findDedicatedMachines(): Machine[] {
    const result: Machine[] = [];
    for (const machine of this.dependencies.context.clusterState.machines.values()) {
      if (result.length === MAX_DEDICATED_MACHINES) break;
      if (this.isDedicatedWithRoom(machine)) result.push(machine);
    }
    return result;
  }

  private isDedicatedWithRoom(machine: Machine): boolean {
    const { job, now } = this.request;
    return (
      machine.shard === job.shard &&
      this.dependencies.gpuMachines.isDedicatedToServices(machine) &&
      this.dependencies.allocations.isSchedulable(machine, now) &&
      isAllowedOn(job, machine) &&
      fits(job.resources, freeResourcesOf(machine))
    );
  }

  /** Independent tasks take an expensive machine whole only when their time runs out. */
  private arrayMayUseGpuMachine(machine: Machine, capacity: MachineType): boolean {
    const { context, gpuMachines } = this.dependencies;
    const { job, hasWaitingGpuWork } = this.request;
    const gpuDemand = context.clusterState.gpuDemandByType.get(machine.typeIndex);
    if (!gpuDemand) return true;
    // Where no more can be had and what needs them has a higher priority, which may stop it, it does no harm there.
    if (gpuDemand.priority > job.priority && !context.isTypeAvailable(capacity.name)) return true;
    // Beside what keeps the machine here anyway, it costs nothing; alone it would keep it.
    const cpusWithTask = cpusWithoutGpus(machine, job.spec.cpus);
    if (cpusWithTask <= capacity.cpus - gpuDemand.cpus + RESOURCE_TOLERANCE && gpuMachines.isKeptBusy(machine)) return true;
    if (hasWaitingGpuWork) return false;
    this.tooLateForNewMachine ??= this.isTooLateForNewMachine();
    return this.tooLateForNewMachine;
  }

  private isTooLateForNewMachine(): boolean {
    const { context, queueOrder } = this.dependencies;
    const { job, now } = this.request;
    const slackMs = queueOrder.startDeadlineOf(job, now) - now;
    const newMachineMs = context.clusterState.bootTimeFor(job) * BOOT_TIME_MARGIN + job.expectedRunMs * RUN_TIME_MARGIN;
    return slackMs < newMachineMs || slackMs > MISSED_ALL_DEADLINES_MS;
  }
}

/** Is an image on its way to the machine that accelerator work there waits for? */
function isFetchingForGpuWork(machine: Machine): boolean {
  for (const { job, phase, stopGraceS, status } of machine.tenure.allocations.values()) {
    if (job.spec.gpus === 0 || phase === 'exited' || stopGraceS !== null || machine.images.has(job.imageIndex)) continue;
    if (phase !== 'reported' || status?.state === 'fetching') return true;
  }
  return false;
}

/** Adds to `cpus` what work without accelerators takes on the machine. */
function cpusWithoutGpus(machine: Machine, cpus: number): number {
  let sum = cpus;
  for (const allocation of machine.tenure.allocations.values())
    if (allocation.phase !== 'exited' && allocation.job.spec.gpus === 0) sum += allocation.job.spec.cpus;
  return sum;
}
