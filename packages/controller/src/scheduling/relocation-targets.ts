/**
 * Where the services of a machine could move to within their shard. This is computed for each machine of a shard in one round:
 * going over all targets for each of them cost the square of the machines (eleven of each thirty milliseconds of a tick at
 * 1,333 machines a shard), so the targets are sorted out once for each kind of service.
 */
import { type Allocation, type FreeResources, fits, type Job, type Machine, subtract } from '../model/index.js';
import { isAllowedOn } from './placement-constraints.js';

/** The machines of one shard that services may move to. Made for one round; nothing may change meanwhile. */
export class RelocationTargets {
  /** the targets with enough free resources for one service of the kind that the service may use, by kind */
  private readonly targetsByKind = new Map<string, FreeResources[]>();
  private readonly serviceCpus = new Map<Machine, number>();

  /**
   * `freeResources`: the targets, in the order in which they are tried; `measureServiceCpus`: the processor cores that services
   * use on a machine, evaluated once for each.
   */
  constructor(
    private readonly freeResources: readonly FreeResources[],
    private readonly measureServiceCpus: (machine: Machine) => number,
  ) {}

  /** Do all these services of the machine fit on other machines at once? The first target that fits is taken. */
  canHost(source: Machine, services: readonly Allocation[]): boolean {
    const remaining = new Map<FreeResources, FreeResources>();
    for (const { job } of services) {
      const target = this.targetsFor(job).find((free) => this.canTake(free, source, job, remaining));
      if (!target) return false;
      const rest = remaining.get(target) ?? { ...target };
      subtract(rest, job.resources);
      remaining.set(target, rest);
    }
    return true;
  }

  /** `remaining`: what the services before this one have left of the targets that they took. */
  private canTake(
    target: FreeResources,
    source: Machine,
    job: Job,
    remaining: ReadonlyMap<FreeResources, FreeResources>,
  ): boolean {
    if (target.machine === source || !this.isMoveAllowed(source, target.machine)) return false;
    const rest = remaining.get(target);
    return rest === undefined || fits(job.resources, rest);
  }

  /** From one machine with accelerators services move only to one that has more of them: else they could move back. */
  private isMoveAllowed(source: Machine, target: Machine): boolean {
    if (source.capacity?.gpus === 0 || target.capacity?.gpus === 0) return true;
    return this.serviceCpusOf(target) > this.serviceCpusOf(source);
  }

  private serviceCpusOf(machine: Machine): number {
    const known = this.serviceCpus.get(machine);
    if (known !== undefined) return known;
    const cpus = this.measureServiceCpus(machine);
    this.serviceCpus.set(machine, cpus);
    return cpus;
  }

  private targetsFor(job: Job): readonly FreeResources[] {
    const kind = kindOf(job);
    const known = this.targetsByKind.get(kind);
    if (known) return known;
    const targets = this.freeResources.filter((free) => fits(job.resources, free) && isAllowedOn(job, free.machine));
    this.targetsByKind.set(kind, targets);
    return targets;
  }
}

/** Services of one kind fit the same machines. */
function kindOf(job: Job): string {
  const { cpus, gpus, memory } = job.resources;
  return [cpus, gpus, memory, job.zoneIndex, job.spec.allowsSpot, job.typeIndices?.join(',') ?? ''].join('/');
}
