/**
 * The rooms that a job's tasks may take, the best first. Sorting all of them for each waiting job was most of a plan's
 * cost on a full fleet, where hardly any has room: those are sorted only once something may be stopped for the job.
 */
import type { Job } from '../model/index.js';
import { fits, type Room, zoneAllows } from './placement.js';

/** A room with what it was worth when the job's turn came. */
interface Candidate {
  room: Room;
  worth: number;
  cpus: number;
}

function byWorth(a: Candidate, b: Candidate): number {
  return b.worth - a.worth || a.cpus - b.cpus;
}

export class CandidateRooms {
  private sorted: Candidate[];
  private isWhole = false;

  constructor(
    private readonly job: Job,
    private readonly rooms: readonly Room[],
    private readonly worthOf: (room: Room) => number,
  ) {
    this.sorted = rooms.filter((room) => fits(job.need, room)).map((room) => this.candidate(room));
    this.sorted.sort(byWorth);
  }

  /** The best one with room for a task, given how many tasks there are in each zone. */
  best(tasksInZones: Map<number, number>): { room: Room; worth: number } | null {
    for (const candidate of this.sorted)
      if (fits(this.job.need, candidate.room) && zoneAllows(this.job, tasksInZones, candidate.room.machine.zone))
        return candidate;
    return null;
  }

  /** All that are worth more than this, whether or not they have room, the best first. */
  worthMore(than: number, tasksInZones: Map<number, number>): Room[] {
    const better = this.whole().filter(
      ({ room, worth }) => worth > than && zoneAllows(this.job, tasksInZones, room.machine.zone),
    );
    return better.map(({ room }) => room);
  }

  /** Where something was stopped there may be room for one more: from now on all are looked at. */
  private whole(): Candidate[] {
    if (this.isWhole) return this.sorted;
    const known = new Map(this.sorted.map((candidate) => [candidate.room, candidate]));
    this.sorted = this.rooms.map((room) => known.get(room) ?? this.candidate(room)).sort(byWorth);
    this.isWhole = true;
    return this.sorted;
  }

  private candidate(room: Room): Candidate {
    return { room, worth: this.worthOf(room), cpus: room.cpus };
  }
}
