/** The snapshot that one scheduling run works on. It is created when the run begins and dropped when the run ends. */
import type { FreeResources, Milliseconds } from '../model/index.js';
import type { QuotaStatuses } from './quota-status.js';
import type { TeamUsage } from './team-usage.js';

/** The input of placement decisions, besides the job. */
export interface SchedulingRun {
  /** when the run began */
  readonly now: Milliseconds;
  /** resource usage of the teams, including what the run itself has placed */
  readonly usage: TeamUsage;
  readonly quotaStatuses: QuotaStatuses;
  /** free resources of all schedulable machines, less what the run has placed */
  readonly freeResources: readonly FreeResources[];
  /** the entries of `freeResources` that no aged gang has reserved, in the same order */
  unreserved: readonly FreeResources[];
}
