/** An entry in the queue of one scheduling run. */
import type { Job, Milliseconds } from '../model/index.js';
import type { QuotaStatus } from './quota-status.js';

/** A job with tasks that wait for a machine, and the attributes that determine its position in the queue. */
export interface QueuedJob {
  readonly job: Job;
  readonly quota: QuotaStatus;
  /** time by which the job should start; of otherwise equal jobs, the one with the soonest time comes first */
  startDeadline: Milliseconds;
  /** whether the job is a gang that has waited for long, which precedes all other jobs of its priority */
  readonly isAged: boolean;
}
