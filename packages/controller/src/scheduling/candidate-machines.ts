/**
 * The machines that a job's tasks may use, the best first. Sorting all of them for each waiting job was most of a run's cost
 * on a full fleet, where the task fits on hardly any: the others are scored and sorted only once something may be stopped for the
 * job.
 */
import { type FreeResources, fits, type Job } from '../model/index.js';
import { zoneAllowsTask } from './placement-constraints.js';

/** A machine with its score and free cores of when it was first looked at for the job. */
interface Candidate {
  readonly free: FreeResources;
  readonly score: number;
  readonly cpus: number;
}

/** Of equal scores the fuller machine comes first. */
function compareCandidates(a: Candidate, b: Candidate): number {
  return b.score - a.score || a.cpus - b.cpus;
}

/** Candidates of one job, during its turn in one scheduling run. What is free on them may change meanwhile. */
export class CandidateMachines {
  private sorted: Candidate[];
  /** whether `sorted` has all machines, or those alone on which the task fitted at first */
  private isComplete = false;

  constructor(
    private readonly job: Job,
    private readonly freeResources: readonly FreeResources[],
    private readonly scoreOf: (free: FreeResources) => number,
  ) {
    this.sorted = freeResources.filter((free) => fits(job.resources, free)).map((free) => this.candidate(free));
    this.sorted.sort(compareCandidates);
  }

  /** The best one on which a task fits, given how many tasks there are in each zone. */
  best(tasksInZones: ReadonlyMap<number, number>): { readonly free: FreeResources; readonly score: number } | null {
    for (const candidate of this.sorted) {
      const { free } = candidate;
      if (fits(this.job.resources, free) && zoneAllowsTask(this.job, tasksInZones, free.machine.zoneIndex)) return candidate;
    }
    return null;
  }

  /** All with a higher score, whether or not the task fits, the best first. */
  withHigherScore(minScore: number, tasksInZones: ReadonlyMap<number, number>): FreeResources[] {
    return this.allSorted()
      .filter(({ free, score }) => score > minScore && zoneAllowsTask(this.job, tasksInZones, free.machine.zoneIndex))
      .map(({ free }) => free);
  }

  /** Where something was stopped one more task may fit: from now on all machines are looked at. */
  private allSorted(): Candidate[] {
    if (this.isComplete) return this.sorted;
    const known = new Map(this.sorted.map((candidate) => [candidate.free, candidate]));
    this.sorted = this.freeResources.map((free) => known.get(free) ?? this.candidate(free)).sort(compareCandidates);
    this.isComplete = true;
    return this.sorted;
  }

  private candidate(free: FreeResources): Candidate {
    return { free, score: this.scoreOf(free), cpus: free.cpus };
  }
}
