/**
 * Users' queries for the status of a job. One read of the state service answers all that came before it. Owns the queries that
 * wait for it.
 */
import { JOB_ID_PATTERN } from '@archpost/protocol';
import type { ClusterStateView, EffectSink, PeerDirectory, ReplicaView } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import type { ClientResponses } from './client-responses.js';
import { describeFinishedJob, describeJob, type JobStatusBody } from './job-status.js';
import { HttpStatus, UnavailableReason } from './response-bodies.js';

/** Users wait 2 s for an answer to a query. */
const QUERY_TIMEOUT_MS = 1700;

interface StatusQuery {
  id: number;
  job: string;
  at: Milliseconds;
}

/** What status queries need of the controller. */
type StatusQueriesContext = ClusterStateView & ReplicaView & PeerDirectory & EffectSink;

/** Answers queries linearizably: a job that is finished at once, others after a read that is newer than the query. */
export class StatusQueries {
  /** those that wait for the replica to be as new as they are, in the order in which they came */
  private readonly pending: StatusQuery[] = [];

  constructor(
    private readonly context: StatusQueriesContext,
    private readonly responses: ClientResponses,
  ) {}

  get hasPending(): boolean {
    return this.pending.length > 0;
  }

  query(id: number, job: string, now: Milliseconds): void {
    if (!JOB_ID_PATTERN.test(job)) return this.responses.respondNoSuchJob(id);
    const finalState = this.context.clusterState.finishedJobs.get(job);
    if (finalState) return this.responses.respond(id, HttpStatus.ok, describeFinishedJob(this.context, job, finalState));
    const unavailable = this.responses.unavailableReason(now);
    if (unavailable) return this.responses.respondUnavailable(id, unavailable);
    this.pending.push({ id, job, at: now });
    if (this.pending.length === 1) this.context.emit({ type: 'readBarrier', urgent: false });
  }

  /**
   * Answers the queries that came up to `asOf`, a time whose state the replica holds. A job is described once, however many
   * queries ask for it.
   */
  answerUpTo(asOf: Milliseconds): void {
    const descriptions = new Map<string, JobStatusBody | null>();
    for (const { id, job } of this.takeWhile((query) => query.at <= asOf)) {
      let description = descriptions.get(job);
      if (description === undefined) {
        description = describeJob(this.context, job);
        descriptions.set(job, description);
      }
      if (description) this.responses.respond(id, HttpStatus.ok, description);
      else this.responses.respondNoSuchJob(id);
    }
  }

  /** Refuses the queries that are out of time. */
  tick(now: Milliseconds): void {
    for (const { id } of this.takeWhile((query) => now > query.at + QUERY_TIMEOUT_MS))
      this.responses.respondUnavailable(id, UnavailableReason.stateServiceSilent);
  }

  /** Removes the first queries, up to one for which the condition doesn't hold. */
  private takeWhile(holds: (query: StatusQuery) => boolean): StatusQuery[] {
    const end = this.pending.findIndex((query) => !holds(query));
    return this.pending.splice(0, end < 0 ? this.pending.length : end);
  }
}
