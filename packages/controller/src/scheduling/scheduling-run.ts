/** The snapshot that one scheduling run decides on. It is made when the run begins and dropped when the run ends. */
import type { FreeResources, Milliseconds } from '../model/index.js';
import type { QuotaStatuses } from './quota-status.js';
import type { TeamUsage } from './team-usage.js';

/** What the functions that choose machines may know, besides the job. */
export interface SchedulingRun {
  /** when the run began */
  readonly now: Milliseconds;
  /** what the teams use, with what the run itself has placed */
  readonly usage: TeamUsage;
  readonly quotaStatuses: QuotaStatuses;
  /** free resources of all machines that take starts, less what the run has placed */
  readonly freeResources: readonly FreeResources[];
  /** those that no aged gang has reserved, in the same order */
  unreserved: readonly FreeResources[];
}
