/**
 * The machines that a job's tasks may use, the best first. On a full fleet a task fits on hardly any machine, and sorting all
 * of them for each waiting job took most of a run's time. The machines on which the task doesn't fit are therefore scored and
 * sorted only when preemption may free resources on them.
 */
import { type FreeResources, fits, type Job } from '../model/index.js';
import { zoneAllowsTask } from './placement-constraints.js';

/** A machine with its score and its free processor cores, both as of when it was first considered for the job. */
interface Candidate {
  readonly free: FreeResources;
  readonly score: number;
  readonly cpus: number;
}

/** Orders by descending score. Of equal scores, the machine with fewer free processor cores comes first. */
function compareCandidates(a: Candidate, b: Candidate): number {
  return b.score - a.score || a.cpus - b.cpus;
}

/** The candidates of one job during its turn in one scheduling run. Their free resources may change meanwhile. */
export class CandidateMachines {
  private sorted: Candidate[];
  /** whether `sorted` contains all machines, or only those on which the task initially fitted */
  private isComplete = false;

  constructor(
    private readonly job: Job,
    private readonly freeResources: readonly FreeResources[],
    private readonly scoreOf: (free: FreeResources) => number,
  ) {
    this.sorted = freeResources.filter((free) => fits(job.resources, free)).map((free) => this.createCandidate(free));
    this.sorted.sort(compareCandidates);
  }

  /** Returns the best machine on which a task fits, or null. `tasksInZones`: number of the job's tasks by zone index. */
  best(tasksInZones: ReadonlyMap<number, number>): { readonly free: FreeResources; readonly score: number } | null {
    for (const candidate of this.sorted) {
      const { free } = candidate;
      if (fits(this.job.resources, free) && zoneAllowsTask(this.job, tasksInZones, free.machine.zoneIndex)) return candidate;
    }
    return null;
  }

  /** Returns all machines with a score above `minScore`, the best first, whether or not the task fits on them. */
  withHigherScore(minScore: number, tasksInZones: ReadonlyMap<number, number>): FreeResources[] {
    return this.allSorted()
      .filter(({ free, score }) => score > minScore && zoneAllowsTask(this.job, tasksInZones, free.machine.zoneIndex))
      .map(({ free }) => free);
  }

  /**
   * Adds the machines on which the task didn't fit at first. Preemption may free resources on them for further tasks, so from
   * now on `best` considers them, too.
   */
  private allSorted(): Candidate[] {
    if (this.isComplete) return this.sorted;
    const scored = new Map(this.sorted.map((candidate) => [candidate.free, candidate]));
    this.sorted = this.freeResources.map((free) => scored.get(free) ?? this.createCandidate(free)).sort(compareCandidates);
    this.isComplete = true;
    return this.sorted;
  }

  private createCandidate(free: FreeResources): Candidate {
    return { free, score: this.scoreOf(free), cpus: free.cpus };
  }
}
