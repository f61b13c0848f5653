/**
 * Moore and Hodgson's rule for the fewest late jobs on one processor, for jobs that have several deadlines each: jobs run by
 * rising deadline, and whenever one would end late, the longest of those so far is put off to its next deadline. Pure
 * functions, which know nothing of the cluster.
 */
import type { Milliseconds } from '../model/index.js';

/** A job for one processor. */
export interface DeadlineJob {
  /** its deadlines, soonest first */
  readonly deadlines: readonly Milliseconds[];
  /** how long it keeps the processor */
  readonly durationMs: Milliseconds;
}

/** Works on a job until a deadline is chosen that it can meet. */
interface Entry {
  readonly job: DeadlineJob;
  /** how many of its deadlines were given up */
  missed: number;
}

/**
 * The soonest deadline of each job, in the order of the jobs, such that all jobs that have one meet it, each run by rising
 * deadline from `now` on; null: the job gave up all of its deadlines. Of equally long jobs the one with the soonest deadline
 * is put off; ties of deadlines go by the order of the jobs.
 */
export function attainableDeadlines(jobs: readonly DeadlineJob[], now: Milliseconds): (Milliseconds | null)[] {
  const entries: Entry[] = jobs.map((job) => ({ job, missed: 0 }));
  let isSettled = false;
  while (!isSettled) isSettled = !putOffLateJobs(entries, now);
  return entries.map(currentDeadline);
}

/** One pass over the jobs by rising deadline; true if any was put off, which may change the order of the next pass. */
function putOffLateJobs(entries: readonly Entry[], now: Milliseconds): boolean {
  const scheduled: Entry[] = [];
  let endsAt = now;
  let anyPutOff = false;
  for (const { entry, deadline } of byDeadline(entries)) {
    scheduled.push(entry);
    endsAt += entry.job.durationMs;
    if (endsAt <= deadline) continue;
    const longest = removeLongest(scheduled);
    longest.missed++;
    endsAt -= longest.job.durationMs;
    anyPutOff = true;
  }
  return anyPutOff;
}

/** The deadlines are those that stand when a pass begins: putting a job off shows in the next pass. */
function byDeadline(entries: readonly Entry[]): { entry: Entry; deadline: Milliseconds }[] {
  const result: { entry: Entry; deadline: Milliseconds }[] = [];
  for (const entry of entries) {
    const deadline = currentDeadline(entry);
    if (deadline !== null) result.push({ entry, deadline });
  }
  return result.sort((a, b) => a.deadline - b.deadline);
}

/** `entries` is not empty. Of equally long ones the first is removed. */
function removeLongest(entries: Entry[]): Entry {
  let longest = 0;
  for (let index = 1; index < entries.length; index++)
    if ((entries[index] as Entry).job.durationMs > (entries[longest] as Entry).job.durationMs) longest = index;
  return entries.splice(longest, 1)[0] as Entry;
}

function currentDeadline({ job, missed }: Entry): Milliseconds | null {
  return job.deadlines[missed] ?? null;
}
