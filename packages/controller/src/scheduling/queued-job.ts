/** A job's place in the queue of one scheduling run. */
import type { Job, Milliseconds } from '../model/index.js';
import type { QuotaStatus } from './quota-status.js';

/** A job with tasks that wait for a machine, where it stands in the queue. */
export interface QueuedJob {
  readonly job: Job;
  readonly quota: QuotaStatus;
  /** by when it should start; of otherwise equal jobs the soonest comes first */
  startDeadline: Milliseconds;
  /** a gang that has waited for long: it goes before all others of its priority */
  readonly isAged: boolean;
}
