/** Users' questions about jobs. One reading of the state service answers all that came before it. */
import { JOB_ID_PATTERN } from '@archpost/protocol';
import type { ClusterStateView, EffectSink, PeerDirectory, ReplicaView } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { type ClientResponses, NO_SUCH_JOB, STATE_SERVICE_UNAVAILABLE } from './client-responses.js';
import { describeFinal, describeJob } from './job-status.js';

/** Users wait 2 s for an answer to a question. */
const QUERY_TIMEOUT_MS = 1700;

interface StatusQuery {
  id: number;
  job: string;
  at: Milliseconds;
}

/** What the status queries needs of its controller. */
type StatusQueriesContext = ClusterStateView & ReplicaView & PeerDirectory & EffectSink;

export class StatusQueries {
  /** those that wait for the replica to be as new as they are, in the order they came */
  private readonly waiting: StatusQuery[] = [];

  constructor(
    private readonly context: StatusQueriesContext,
    private readonly responses: ClientResponses,
  ) {}

  get hasPending(): boolean {
    return this.waiting.length > 0;
  }

  query(id: number, job: string, now: Milliseconds): void {
    if (!JOB_ID_PATTERN.test(job)) return this.responses.respond(id, 404, NO_SUCH_JOB);
    const final = this.context.clusterState.finishedJobs.get(job);
    if (final) return this.responses.respond(id, 200, describeFinal(this.context, job, final));
    const unready = this.responses.unavailableReason(now);
    if (unready) return this.responses.respondUnavailable(id, unready);
    this.waiting.push({ id, job, at: now });
    if (this.waiting.length === 1) this.context.emit({ type: 'readBarrier', urgent: false });
  }

  /** The replica holds everything that was so at `asOf`: what was asked by then is answered, alike for one job. */
  answerUpTo(asOf: Milliseconds): void {
    const descriptions = new Map<string, ReturnType<typeof describeJob>>();
    for (const { id, job } of this.takeWhile((question) => question.at <= asOf)) {
      const known = descriptions.get(job);
      const description = known === undefined ? describeJob(this.context, job) : known;
      descriptions.set(job, description);
      if (description) this.responses.respond(id, 200, description);
      else this.responses.respond(id, 404, NO_SUCH_JOB);
    }
  }

  tick(now: Milliseconds): void {
    for (const { id } of this.takeWhile((question) => now > question.at + QUERY_TIMEOUT_MS))
      this.responses.respondUnavailable(id, STATE_SERVICE_UNAVAILABLE);
  }

  private takeWhile(holds: (question: StatusQuery) => boolean): StatusQuery[] {
    const end = this.waiting.findIndex((question) => !holds(question));
    return this.waiting.splice(0, end < 0 ? this.waiting.length : end);
  }
}
