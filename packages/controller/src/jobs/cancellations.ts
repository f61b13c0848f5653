/** Users' cancellations: stored, then answered. What follows for other jobs is derived, not written. */
import { encodeJobStatus, JOB_ID_PATTERN } from '@archpost/protocol';
import type { ClusterStateView, ReplicaView, StateWriting } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { encodeCancelledJob, type ReplicaEntry, StateKey, WritePriority } from '../state/index.js';
import { type ClientResponses, NO_SUCH_JOB, REQUEST_TIMEOUT_MS } from './client-responses.js';

/** What the cancellations needs of its controller. */
type CancellationsContext = ClusterStateView & ReplicaView & StateWriting;

export class Cancellations {
  constructor(
    private readonly context: CancellationsContext,
    private readonly responses: ClientResponses,
  ) {}

  cancel(id: number, job: string, now: Milliseconds): void {
    if (!JOB_ID_PATTERN.test(job)) return this.responses.respond(id, 404, NO_SUCH_JOB);
    const unready = this.responses.unavailableReason(now);
    if (unready) return this.responses.respondUnavailable(id, unready);
    const until = now + REQUEST_TIMEOUT_MS;
    if (this.tryCancel(id, job, until)) return;
    // It may have been accepted elsewhere a moment ago.
    this.responses.afterBarrier(id, now, until, () => {
      if (!this.tryCancel(id, job, until)) this.responses.respond(id, 404, NO_SUCH_JOB);
    });
  }

  /** False if no record of the job is known here. */
  private tryCancel(id: number, job: string, until: Milliseconds): boolean {
    const final = this.context.clusterState.finishedJobs.get(job);
    const entry = this.context.replica.get(StateKey.job(job));
    if (final) this.responses.respond(id, 200, encodeJobStatus(job, final));
    else if (entry) this.storeCancellation(id, job, entry, until);
    return final !== undefined || entry !== null;
  }

  private storeCancellation(id: number, job: string, entry: ReplicaEntry, until: Milliseconds): void {
    const { clusterState, writer } = this.context;
    const key = StateKey.job(job);
    const end = this.responses.respondOnce(id, until);
    writer.add({
      key,
      value: () => encodeCancelledJob(key, entry.value, clusterState.sizeLimits.maxWriteBytes),
      expectedRevision: entry.revision,
      priority: WritePriority.cancellation,
      expiresAt: until,
      onOutcome: (outcome) => {
        if (outcome === 'ok') return end(() => this.responses.respond(id, 200, encodeJobStatus(job, 'cancelled')));
        // Somebody else wrote first: the replica has it by now.
        const final = clusterState.finishedJobs.get(job);
        if (final) end(() => this.responses.respond(id, 200, encodeJobStatus(job, final)));
        else end(() => this.responses.respondUnavailable(id, 'try again'));
      },
    });
  }
}
