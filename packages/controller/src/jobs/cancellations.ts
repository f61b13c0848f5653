/**
 * Cancellations by users: stored, then answered. The consequences for dependents of the cancelled job are derived from its
 * record, not written. Owns no state.
 */
import { JOB_ID_PATTERN } from '@archpost/protocol';
import type { ClusterStateView, ReplicaView, StateWriting } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { encodeCancelledJob, type ReplicaEntry, StateKey, WritePriority } from '../state/index.js';
import { type ClientResponses, REQUEST_TIMEOUT_MS } from './client-responses.js';
import { UnavailableReason } from './response-bodies.js';

/** The parts of the controller's context that cancellations use. */
type CancellationsContext = ClusterStateView & ReplicaView & StateWriting;

/** Responds to each cancellation once. The response for a job that is already finished contains its final state. */
export class Cancellations {
  constructor(
    private readonly context: CancellationsContext,
    private readonly responses: ClientResponses,
  ) {}

  cancel(id: number, job: string, now: Milliseconds): void {
    if (!JOB_ID_PATTERN.test(job)) return this.responses.respondNoSuchJob(id);
    const unavailable = this.responses.unavailableReason(now);
    if (unavailable) return this.responses.respondUnavailable(id, unavailable);
    const expiresAt = now + REQUEST_TIMEOUT_MS;
    if (this.tryCancel(id, job, expiresAt)) return;
    // Another controller may have accepted the job a moment ago.
    this.responses.afterBarrier(id, now, expiresAt, () => {
      if (!this.tryCancel(id, job, expiresAt)) this.responses.respondNoSuchJob(id);
    });
  }

  /** Cancels the job, or responds with its final state. Returns false if the replica has no record of the job. */
  private tryCancel(id: number, job: string, expiresAt: Milliseconds): boolean {
    const finalState = this.context.clusterState.finishedJobs.get(job);
    if (finalState) {
      this.responses.respondJobStatus(id, job, finalState);
      return true;
    }
    const entry = this.context.replica.get(StateKey.job(job));
    if (!entry) return false;
    this.storeCancellation(id, job, entry, expiresAt);
    return true;
  }

  private storeCancellation(id: number, job: string, entry: ReplicaEntry, expiresAt: Milliseconds): void {
    const { clusterState, writer } = this.context;
    const key = StateKey.job(job);
    const respondOnce = this.responses.respondOnce(id, expiresAt);
    writer.add({
      key,
      value: () => encodeCancelledJob(key, entry.value, clusterState.sizeLimits.maxWriteBytes),
      expectedRevision: entry.revision,
      priority: WritePriority.cancellation,
      expiresAt,
      onOutcome: (outcome) => {
        // If the cancellation isn't stored, another write preceded it, which the replica contains by now.
        const finalState = outcome === 'ok' ? 'cancelled' : clusterState.finishedJobs.get(job);
        respondOnce(() => {
          if (finalState) this.responses.respondJobStatus(id, job, finalState);
          else this.responses.respondUnavailable(id, UnavailableReason.conflict);
        });
      },
    });
  }
}
