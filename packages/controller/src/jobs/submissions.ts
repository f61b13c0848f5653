/** Submissions of users: validated, stored, then answered. Owns no state. */
import type { Submission } from '@archpost/protocol';
import type { ClusterStateView, InputClock, PeerDirectory, ReplicaView, SettingsView, StateWriting } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { type AcceptanceOutcome, AcceptanceWriter } from './acceptance-writer.js';
import { type ClientResponses, REQUEST_TIMEOUT_MS } from './client-responses.js';
import { statusOf } from './job-status.js';
import type { MalformedPart, RefusedSubmissions } from './refused-submissions.js';
import {
  type ErrorBody,
  errorBody,
  HttpStatus,
  INVALID_TEXT,
  NAMES_TOO_LONG,
  NOT_STORABLE,
  UnavailableReason,
} from './response-bodies.js';
import { type MalformedSubmission, malformedSubmissionBody } from './submission-request.js';
import { findRejection, rejectionText } from './submission-validation.js';

/** Within this time after a job's acceptance, no other response can have reported the job's end. */
const PROMPT_RESPONSE_MS = 150;

/** The parts of the controller's context that submissions use. */
type SubmissionsContext = SettingsView & InputClock & ClusterStateView & ReplicaView & StateWriting & PeerDirectory;

/** Responds to each submission once. The response to a repeated submission is the job's status; nothing is stored. */
export class Submissions {
  private readonly acceptanceWriter: AcceptanceWriter;

  constructor(
    private readonly context: SubmissionsContext,
    private readonly responses: ClientResponses,
    private readonly refused: RefusedSubmissions,
  ) {
    this.acceptanceWriter = new AcceptanceWriter(context);
  }

  /** Handles a submission. `wallClockMs`: the time of day in milliseconds since 1970, which is stored with the job. */
  submit(id: number, submission: Submission, now: Milliseconds, wallClockMs: number): void {
    const { clusterState } = this.context;
    const job = submission.spec.id;
    const finalState = clusterState.finishedJobs.get(job);
    if (finalState) return this.responses.respondJobStatus(id, job, finalState);
    const unavailable = clusterState.areMachineTypesKnown ? this.responses.unavailableReason(now) : UnavailableReason.notReady;
    if (unavailable) return this.responses.respondUnavailable(id, unavailable);
    if (clusterState.jobs.has(job)) return this.respondWithStatusAfterBarrier(id, job, now);
    if (findRejection(this.context, submission)) return this.confirmRejection(id, submission, now, wallClockMs);
    this.accept(id, submission, wallClockMs, now + REQUEST_TIMEOUT_MS);
  }

  /** Refuses a submission that can't be parsed. */
  refuse(id: number, request: MalformedSubmission): void {
    const part = request.kind === 'notAMap' ? 'body' : { field: request.field };
    this.respondMalformed(id, part, malformedSubmissionBody(request));
  }

  /**
   * Refuses a submission whose body has text that is not UTF-8. If the job is accepted already, the response is its status: earlier
   * versions accepted such text where it isn't stored.
   */
  refuseInvalidText(id: number, job: string, now: Milliseconds): void {
    this.responses.afterBarrier(id, now, now + REQUEST_TIMEOUT_MS, () => {
      const status = statusOf(this.context, job);
      if (status) this.responses.respondJobStatus(id, job, status);
      else this.respondMalformed(id, 'text', INVALID_TEXT);
    });
  }

  /**
   * Rejects the submission if a newer read confirms the rejection: another controller may have accepted the job, or one of its
   * dependencies, a moment ago.
   */
  private confirmRejection(id: number, submission: Submission, now: Milliseconds, wallClockMs: number): void {
    const job = submission.spec.id;
    const expiresAt = now + REQUEST_TIMEOUT_MS;
    this.responses.afterBarrier(id, now, expiresAt, () => {
      const status = statusOf(this.context, job);
      const rejection = findRejection(this.context, submission);
      if (status) this.responses.respondJobStatus(id, job, status);
      else if (rejection) this.responses.respond(id, HttpStatus.unprocessable, errorBody(rejectionText(rejection)));
      else this.accept(id, submission, wallClockMs, expiresAt);
    });
  }

  /** Stores the job, and responds once it is stored. */
  private accept(id: number, submission: Submission, wallClockMs: number, expiresAt: Milliseconds): void {
    if (this.responses.isOverloaded) return this.responses.respondUnavailable(id, UnavailableReason.overloaded);
    const job = submission.spec.id;
    const encoded = this.acceptanceWriter.encode(submission, wallClockMs);
    if (!encoded) return this.respondMalformed(id, 'content', NAMES_TOO_LONG);
    const respondOnce = this.responses.respondOnce(id, expiresAt);
    this.acceptanceWriter.store(job, encoded, expiresAt, (outcome) => respondOnce(() => this.respondToOutcome(id, job, outcome)));
  }

  private respondMalformed(id: number, part: MalformedPart, body: ErrorBody): void {
    this.refused.count(part);
    this.responses.respond(id, HttpStatus.badRequest, body);
  }

  private respondToOutcome(id: number, job: string, outcome: AcceptanceOutcome): void {
    switch (outcome.kind) {
      case 'stored':
        return this.respondAccepted(id, job, outcome.sentAt);
      case 'conflict':
        return this.respondWithCurrentStatus(id, job);
      case 'rejected':
        return this.respondMalformed(id, 'content', NOT_STORABLE);
      case 'unknown':
        return this.responses.respondUnavailable(id, UnavailableReason.stateServiceSilent);
      default:
        return outcome satisfies never;
    }
  }

  /**
   * Responds to a submission whose job was stored. If the state service's response was delayed, the job may meanwhile have
   * finished, or been cancelled at another controller that has reported this to a user. The response must not contain an older
   * status, so it is sent only after a newer read.
   */
  private respondAccepted(id: number, job: string, sentAt: Milliseconds): void {
    const { now } = this.context;
    if (now - sentAt >= PROMPT_RESPONSE_MS) return this.respondWithStatusAfterBarrier(id, job, now);
    this.responses.respondJobStatus(id, job, statusOf(this.context, job) ?? 'queued', HttpStatus.created);
  }

  /** Responds with the status of an accepted job, after a read that is newer than `now`. */
  private respondWithStatusAfterBarrier(id: number, job: string, now: Milliseconds): void {
    this.responses.afterBarrier(id, now, now + REQUEST_TIMEOUT_MS, () => this.respondWithCurrentStatus(id, job));
  }

  private respondWithCurrentStatus(id: number, job: string): void {
    const status = statusOf(this.context, job);
    if (status) this.responses.respondJobStatus(id, job, status);
    else this.responses.respondUnavailable(id, UnavailableReason.conflict);
  }
}
