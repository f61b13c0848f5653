/**
 * User requests, which any controller answers: counts each request, parses its body, and passes it to the module for its kind.
 * Owns these modules.
 */
import type { MessagePackMap } from '@archpost/protocol';
import type {
  ClusterStateView,
  EffectSink,
  InputClock,
  Logger,
  PeerDirectory,
  ReadBarrierSource,
  ReplicaView,
  SettingsView,
  StateFreshness,
  StateWriting,
} from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { Cancellations } from './cancellations.js';
import { ClientResponses } from './client-responses.js';
import { RefusedSubmissions } from './refused-submissions.js';
import { StatusQueries } from './status-queries.js';
import { readSubmissionRequest } from './submission-request.js';
import { Submissions } from './submissions.js';

/** The parts of the controller's context that user requests use. */
type ClientRequestsContext = SettingsView &
  InputClock &
  ClusterStateView &
  ReplicaView &
  StateWriting &
  StateFreshness &
  ReadBarrierSource &
  PeerDirectory &
  EffectSink &
  Logger;

/** The entry point for user requests. */
export class ClientRequests {
  private readonly responses: ClientResponses;
  private readonly refusedSubmissions: RefusedSubmissions;
  private readonly submissions: Submissions;
  private readonly cancellations: Cancellations;
  private readonly statusQueries: StatusQueries;

  constructor(context: ClientRequestsContext) {
    this.responses = new ClientResponses(context);
    this.refusedSubmissions = new RefusedSubmissions(context);
    this.submissions = new Submissions(context, this.responses, this.refusedSubmissions);
    this.cancellations = new Cancellations(context, this.responses);
    this.statusQueries = new StatusQueries(context, this.responses);
  }

  /**
   * Handles a submission. `body`: null if it isn't a MessagePack map. `wallClockMs`: the time of day in milliseconds since 1970.
   * `isTextValid`: whether all text of the body is UTF-8.
   */
  submit(id: number, body: MessagePackMap | null, now: Milliseconds, wallClockMs: number, isTextValid: boolean): void {
    this.responses.recordRequestOpened();
    const request = readSubmissionRequest(body);
    if (request.kind !== 'valid') this.submissions.refuse(id, request);
    else if (isTextValid) this.submissions.submit(id, request.submission, now, wallClockMs);
    else this.submissions.refuseInvalidText(id, request.submission.spec.id, now);
  }

  /** Handles a cancellation. `job`: the id as the user wrote it; an id that no job can have is answered like an unknown one. */
  cancel(id: number, job: string, now: Milliseconds): void {
    this.responses.recordRequestOpened();
    this.cancellations.cancel(id, job, now);
  }

  /** Handles a status query. `job`: as for `cancel`. */
  queryStatus(id: number, job: string, now: Milliseconds): void {
    this.responses.recordRequestOpened();
    this.statusQueries.query(id, job, now);
  }

  /** Whether status queries wait for a newer read. */
  get hasPendingQueries(): boolean {
    return this.statusQueries.hasPending;
  }

  /** Answers the status queries that arrived up to `asOf`. The replica holds the state as of this time or a newer one. */
  answerQueriesUpTo(asOf: Milliseconds): void {
    this.statusQueries.answerUpTo(asOf);
  }

  /** Refuses requests that have timed out. */
  tick(now: Milliseconds): void {
    this.responses.tick(now);
    this.refusedSubmissions.tick(now);
    this.statusQueries.tick(now);
  }
}
