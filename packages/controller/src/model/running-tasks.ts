/** How far a job is, as controllers send it to one another for status queries. */

/** Counts of a job's tasks at one controller. */
export interface RunningTasks {
  /** tasks that run */
  count: number;
  /** tasks that are done */
  done: number;
  /** how often a task failed, of a crash-looping job */
  failed: number;
}
