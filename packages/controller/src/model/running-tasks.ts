/** How far a job is, as controllers tell one another for status queries. */

/** Tasks of a job that run, that are done, and how often one failed of those that fail everywhere. */
export interface RunningTasks {
  count: number;
  done: number;
  failed: number;
}
