/**
 * Where services of a machine could move to within their share. Asked for each machine of a share in one round: going
 * over all rooms for each of them cost the square of the machines (eleven of each thirty milliseconds of a tick at 1,333
 * machines a share), so rooms are sorted out once for each kind of service.
 */
import { type Allocation, type FreeResources, fits, type Job, type Machine, subtract } from '../model/index.js';
import { isAllowedOn } from './placement-constraints.js';

export class RelocationTargets {
  /** by kind of service, the rooms that hold one and are on a machine that it may use */
  private readonly candidatesByKind = new Map<string, FreeResources[]>();
  private readonly serviceCpus = new Map<Machine, number>();

  constructor(
    /** room on the machines that services may move to, in the order in which they are tried */
    private readonly freeResources: readonly FreeResources[],
    private readonly serviceCpusOn: (machine: Machine) => number,
  ) {}

  /** Is there room elsewhere for all these services of the machine at once? */
  canHost(from: Machine, services: readonly Allocation[]): boolean {
    const taken = new Map<FreeResources, FreeResources>();
    for (const { job } of services) {
      const found = this.candidatesFor(job).find((free) => this.canTake(free, from, job, taken));
      if (!found) return false;
      const rest = taken.get(found) ?? { ...found };
      subtract(rest, job.resources);
      taken.set(found, rest);
    }
    return true;
  }

  private canTake(free: FreeResources, from: Machine, job: Job, taken: Map<FreeResources, FreeResources>): boolean {
    if (free.machine === from || !this.isMoveAllowed(from, free.machine)) return false;
    const rest = taken.get(free);
    return rest === undefined || fits(job.resources, rest);
  }

  /** From one machine with accelerators services move only to one that bears more of them. */
  private isMoveAllowed(from: Machine, to: Machine): boolean {
    if (from.capacity?.gpus === 0 || to.capacity?.gpus === 0) return true;
    return this.serviceCpusOf(to) > this.serviceCpusOf(from);
  }

  private serviceCpusOf(machine: Machine): number {
    const known = this.serviceCpus.get(machine);
    if (known !== undefined) return known;
    const cpus = this.serviceCpusOn(machine);
    this.serviceCpus.set(machine, cpus);
    return cpus;
  }

  private candidatesFor(job: Job): readonly FreeResources[] {
    const { cpus, gpus, memory } = job.resources;
    const name = [cpus, gpus, memory, job.zoneIndex, job.spec.spot, job.typeIndices?.join(',') ?? ''].join('/');
    const known = this.candidatesByKind.get(name);
    if (known) return known;
    const candidates = this.freeResources.filter((free) => fits(job.resources, free) && isAllowedOn(job, free.machine));
    this.candidatesByKind.set(name, candidates);
    return candidates;
  }
}
