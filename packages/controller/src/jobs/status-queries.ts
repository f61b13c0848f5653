/**
 * Status queries of users. One read of the state service answers all queries that arrived before it. Owns the pending queries.
 */
import { JOB_ID_PATTERN } from '@archpost/protocol';
import type { ClusterStateView, EffectSink, PeerDirectory, ReplicaView } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import type { ClientResponses } from './client-responses.js';
import { describeFinishedJob, describeJob, type JobStatusBody } from './job-status.js';
import { HttpStatus, UnavailableReason } from './response-bodies.js';

/** The timeout of a query, below the 2 s for which users wait for a response. */
const QUERY_TIMEOUT_MS = 1700;

interface StatusQuery {
  id: number;
  job: string;
  at: Milliseconds;
}

/** The parts of the controller's context that status queries use. */
type StatusQueriesContext = ClusterStateView & ReplicaView & PeerDirectory & EffectSink;

/** Answers queries linearizably: for a finished job immediately, for any other job after a read that is newer than the query. */
export class StatusQueries {
  /** queries that wait until the replica holds the state as of their arrival, in order of arrival */
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
   * Answers the queries that arrived up to `asOf`, a time whose state the replica holds. Each job is described once,
   * regardless of the number of queries for it.
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

  /** Refuses queries that have timed out. */
  tick(now: Milliseconds): void {
    for (const { id } of this.takeWhile((query) => now > query.at + QUERY_TIMEOUT_MS))
      this.responses.respondUnavailable(id, UnavailableReason.stateServiceSilent);
  }

  /** Removes and returns the first queries, up to the first one that doesn't satisfy the predicate. */
  private takeWhile(predicate: (query: StatusQuery) => boolean): StatusQuery[] {
    const end = this.pending.findIndex((query) => !predicate(query));
    return this.pending.splice(0, end < 0 ? this.pending.length : end);
  }
}
