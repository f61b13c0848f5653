/**
 * The rooms that a job's tasks may take, the best first. Sorting all of them for each waiting job was most of a plan's
 * cost on a full fleet, where hardly any has room: those are sorted only once something may be stopped for the job.
 */
import { type FreeResources, fits, type Job } from '../model/index.js';
import { zoneAllowsTask } from './placement-constraints.js';

/** A room with what it was worth when the job's turn came. */
interface Candidate {
  free: FreeResources;
  score: number;
  cpus: number;
}

function byScore(a: Candidate, b: Candidate): number {
  return b.score - a.score || a.cpus - b.cpus;
}

export class CandidateMachines {
  private sorted: Candidate[];
  private isComplete = false;

  constructor(
    private readonly job: Job,
    private readonly freeResources: readonly FreeResources[],
    private readonly scoreOf: (free: FreeResources) => number,
  ) {
    this.sorted = freeResources.filter((free) => fits(job.resources, free)).map((free) => this.candidate(free));
    this.sorted.sort(byScore);
  }

  /** The best one with room for a task, given how many tasks there are in each zone. */
  best(tasksInZones: ReadonlyMap<number, number>): { free: FreeResources; score: number } | null {
    for (const candidate of this.sorted)
      if (fits(this.job.resources, candidate.free) && zoneAllowsTask(this.job, tasksInZones, candidate.free.machine.zoneIndex))
        return candidate;
    return null;
  }

  /** All that are worth more than this, whether or not they have room, the best first. */
  withHigherScore(than: number, tasksInZones: ReadonlyMap<number, number>): FreeResources[] {
    const better = this.allSorted().filter(
      ({ free, score: worth }) => worth > than && zoneAllowsTask(this.job, tasksInZones, free.machine.zoneIndex),
    );
    return better.map(({ free }) => free);
  }

  /** Where something was stopped there may be room for one more: from now on all are looked at. */
  private allSorted(): Candidate[] {
    if (this.isComplete) return this.sorted;
    const known = new Map(this.sorted.map((candidate) => [candidate.free, candidate]));
    this.sorted = this.freeResources.map((free) => known.get(free) ?? this.candidate(free)).sort(byScore);
    this.isComplete = true;
    return this.sorted;
  }

  private candidate(free: FreeResources): Candidate {
    return { free, score: this.scoreOf(free), cpus: free.cpus };
  }
}
