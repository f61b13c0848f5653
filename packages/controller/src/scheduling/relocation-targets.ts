/**
 * Where the services of a machine could move to within their shard. This is computed for every machine of a shard in one
 * round. Checking all targets for each machine takes time quadratic in the number of machines (11 of every 30 ms of a tick at
 * 1,333 machines per shard), so the targets are filtered once for each kind of service.
 */
import { type Allocation, type FreeResources, fits, type Job, type Machine, subtract } from '../model/index.js';
import { isAllowedOn } from './placement-constraints.js';

/** The machines of one shard that services may move to. Created for one round, during which no machine may change. */
export class RelocationTargets {
  /** the targets that a service of the kind may use and that have enough free resources for one, by kind */
  private readonly targetsByKind = new Map<string, FreeResources[]>();
  private readonly serviceCpus = new Map<Machine, number>();

  /**
   * `freeResources`: the targets, in the order in which they are tried; `measureServiceCpus`: returns the processor cores that
   * services use on a machine, called at most once per machine.
   */
  constructor(
    private readonly freeResources: readonly FreeResources[],
    private readonly measureServiceCpus: (machine: Machine) => number,
  ) {}

  /**
   * Whether all of these services of the source machine fit on other machines at once. Each service uses the first target that
   * fits.
   */
  canHost(source: Machine, services: readonly Allocation[]): boolean {
    const remaining = new Map<FreeResources, FreeResources>();
    for (const { job } of services) {
      const target = this.targetsFor(job).find((free) => this.isUsableTarget(free, source, job, remaining));
      if (!target) return false;
      const rest = remaining.get(target) ?? { ...target };
      subtract(rest, job.resources);
      remaining.set(target, rest);
    }
    return true;
  }

  /**
   * Whether the service may move to the target and fits there beside earlier services of the source, subtracted in `remaining`.
   */
  private isUsableTarget(
    target: FreeResources,
    source: Machine,
    job: Job,
    remaining: ReadonlyMap<FreeResources, FreeResources>,
  ): boolean {
    if (target.machine === source || !this.isMoveAllowed(source, target.machine)) return false;
    const rest = remaining.get(target);
    return rest === undefined || fits(job.resources, rest);
  }

  /**
   * Between machines with accelerators, services move only to one whose services use more processor cores than the source's;
   * otherwise they could move back.
   */
  private isMoveAllowed(source: Machine, target: Machine): boolean {
    if (source.capacity?.gpus === 0 || target.capacity?.gpus === 0) return true;
    return this.serviceCpusOf(target) > this.serviceCpusOf(source);
  }

  private serviceCpusOf(machine: Machine): number {
    const cached = this.serviceCpus.get(machine);
    if (cached !== undefined) return cached;
    const cpus = this.measureServiceCpus(machine);
    this.serviceCpus.set(machine, cpus);
    return cpus;
  }

  private targetsFor(job: Job): readonly FreeResources[] {
    const kind = kindOf(job);
    const cached = this.targetsByKind.get(kind);
    if (cached) return cached;
    const targets = this.freeResources.filter((free) => fits(job.resources, free) && isAllowedOn(job, free.machine));
    this.targetsByKind.set(kind, targets);
    return targets;
  }
}

/** Returns the kind of the service. Services of one kind fit on the same machines. */
function kindOf(job: Job): string {
  const { cpus, gpus, memory } = job.resources;
  return [cpus, gpus, memory, job.zoneIndex, job.spec.allowsSpot, job.typeIndices?.join(',') ?? ''].join('/');
}
