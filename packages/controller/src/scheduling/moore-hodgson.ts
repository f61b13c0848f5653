/**
 * The Moore-Hodgson algorithm, which minimizes the number of late jobs on one processor, for jobs that have several deadlines
 * each: jobs run by ascending deadline, and whenever one would finish late, the longest job so far is postponed to its next
 * deadline. Pure functions, independent of the cluster.
 */
import type { Milliseconds } from '../model/index.js';

/** A job that runs on the processor and has to finish by one of its deadlines. */
export interface DeadlineJob {
  /** in ascending order */
  readonly deadlines: readonly Milliseconds[];
  /** how long the job occupies the processor */
  readonly durationMs: Milliseconds;
}

/** A job while its deadline is being chosen. */
interface Entry {
  readonly job: DeadlineJob;
  /** how many of the job's deadlines have been given up */
  abandonedCount: number;
}

/**
 * Returns for each job, in the order of `jobs`, the soonest deadline such that all jobs with a deadline meet it if they run by
 * ascending deadline from `now` on; null if the job gave up all of its deadlines. Of equally long jobs, the one with the
 * soonest deadline is postponed; ties between deadlines are resolved by the order of `jobs`.
 */
export function attainableDeadlines(jobs: readonly DeadlineJob[], now: Milliseconds): (Milliseconds | null)[] {
  const entries: Entry[] = jobs.map((job) => ({ job, abandonedCount: 0 }));
  let isSettled = false;
  while (!isSettled) isSettled = !postponeLateJobs(entries, now);
  return entries.map(currentDeadline);
}

/**
 * Makes one pass over the jobs by ascending deadline. Returns whether any was postponed, which may change the order of the
 * next pass.
 */
function postponeLateJobs(entries: readonly Entry[], now: Milliseconds): boolean {
  const scheduled: Entry[] = [];
  let endsAt = now;
  let anyPostponed = false;
  for (const { entry, deadline } of byDeadline(entries)) {
    scheduled.push(entry);
    endsAt += entry.job.durationMs;
    if (endsAt <= deadline) continue;
    const longest = removeLongest(scheduled);
    longest.abandonedCount++;
    endsAt -= longest.job.durationMs;
    anyPostponed = true;
  }
  return anyPostponed;
}

/**
 * Returns the entries that have a deadline left, sorted by it. The deadlines are those at the start of a pass: a postponement
 * takes effect in the next pass.
 */
function byDeadline(entries: readonly Entry[]): { entry: Entry; deadline: Milliseconds }[] {
  const result: { entry: Entry; deadline: Milliseconds }[] = [];
  for (const entry of entries) {
    const deadline = currentDeadline(entry);
    if (deadline !== null) result.push({ entry, deadline });
  }
  return result.sort((a, b) => a.deadline - b.deadline);
}

/** Removes and returns the longest entry, the first of equally long ones. `entries` must not be empty. */
function removeLongest(entries: Entry[]): Entry {
  let longest = 0;
  for (let index = 1; index < entries.length; index++)
    if ((entries[index] as Entry).job.durationMs > (entries[longest] as Entry).job.durationMs) longest = index;
  return entries.splice(longest, 1)[0] as Entry;
}

function currentDeadline({ job, abandonedCount }: Entry): Milliseconds | null {
  return job.deadlines[abandonedCount] ?? null;
}
