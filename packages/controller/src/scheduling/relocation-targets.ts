/**
 * Where services of a machine could move to within their share. Asked for each machine of a share in one round: going
 * over all rooms for each of them cost the square of the machines (eleven of each thirty milliseconds of a tick at 1,333
 * machines a share), so rooms are sorted out once for each kind of service.
 */
import type { Job, Machine, Placement } from '../model/index.js';
import { allowed, fits, type Room, take } from './placement.js';

export class Destinations {
  /** by kind of service, the rooms that hold one and are on a machine that it may use */
  private readonly byKind = new Map<string, Room[]>();
  private readonly serviceCpus = new Map<Machine, number>();

  constructor(
    /** room on the machines that services may move to, in the order in which they are tried */
    private readonly rooms: readonly Room[],
    private readonly serviceCpusOn: (machine: Machine) => number,
  ) {}

  /** Is there room elsewhere for all these services of the machine at once? */
  hold(from: Machine, services: readonly Placement[]): boolean {
    const taken = new Map<Room, Room>();
    for (const { job } of services) {
      const found = this.kind(job).find((room) => this.isOpen(room, from, job, taken));
      if (!found) return false;
      const rest = taken.get(found) ?? { ...found };
      take(rest, job.need);
      taken.set(found, rest);
    }
    return true;
  }

  private isOpen(room: Room, from: Machine, job: Job, taken: Map<Room, Room>): boolean {
    if (room.machine === from || !this.mayMove(from, room.machine)) return false;
    const rest = taken.get(room);
    return rest === undefined || fits(job.need, rest);
  }

  /** From one machine with accelerators services move only to one that bears more of them. */
  private mayMove(from: Machine, to: Machine): boolean {
    if (from.cap?.gpus === 0 || to.cap?.gpus === 0) return true;
    return this.cpusOn(to) > this.cpusOn(from);
  }

  private cpusOn(machine: Machine): number {
    const known = this.serviceCpus.get(machine);
    if (known !== undefined) return known;
    const cpus = this.serviceCpusOn(machine);
    this.serviceCpus.set(machine, cpus);
    return cpus;
  }

  private kind(job: Job): readonly Room[] {
    const { cpus, gpus, memory } = job.need;
    const name = [cpus, gpus, memory, job.zone, job.spec.spot, job.types?.join(',') ?? ''].join('/');
    const known = this.byKind.get(name);
    if (known) return known;
    const rooms = this.rooms.filter((room) => fits(job.need, room) && allowed(job, room.machine));
    this.byKind.set(name, rooms);
    return rooms;
  }
}
