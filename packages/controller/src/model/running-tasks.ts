/** The progress of a job, as controllers send it to one another for status queries. */

/** The numbers of a job's tasks by state, at one controller. */
export interface RunningTasks {
  /** running tasks */
  count: number;
  /** tasks that are done */
  done: number;
  /** crash-looping jobs only: number of task failures */
  failed: number;
}
