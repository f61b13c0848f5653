/**
 * Responses to users, including refusals due to overload and timeouts. Owns the number of open requests, and the deadlines of
 * requests that wait for the state service.
 */
import { encodeJobStatus, type JobState } from '@archpost/protocol';
import type { EffectSink, ReadBarrierSource, ReplicaView, SettingsView, StateFreshness, StateWriting } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { DeadlineQueue } from './deadline-queue.js';
import type { JobStatusBody } from './job-status.js';
import { type ErrorBody, errorBody, HttpStatus, NO_SUCH_JOB, UnavailableReason } from './response-bodies.js';

/** The timeout of a submission or a cancellation, below the 5 s for which users wait for a response. */
export const REQUEST_TIMEOUT_MS = 4000;

/** How long a user should wait before repeating a request that couldn't be served. */
const RETRY_AFTER_S = 1;

/** One connection in this many may be used by a user request that waits for its response: workers need the others. */
const SOCKETS_PER_OPEN_REQUEST = 8;

/** A submission is refused while completing the pending writes would take longer than this. */
const OVERLOAD_BACKLOG_S = 6;

/** The parts of the controller's context that responses use. */
type ClientResponsesContext = SettingsView & ReplicaView & StateWriting & StateFreshness & ReadBarrierSource & EffectSink;

/** Sends exactly one response to each user request. */
export class ClientResponses {
  private openRequests = 0;
  private readonly deadlines = new DeadlineQueue();

  constructor(private readonly context: ClientResponsesContext) {}

  /** Records that a request arrived. `respond` must be called for it exactly once. */
  recordRequestOpened(): void {
    this.openRequests++;
  }

  /**
   * Sends the response to the request `id`. `retryAfterS`: when the user may repeat the request; omitted if it isn't to be
   * repeated.
   */
  respond(id: number, status: HttpStatus, body: JobStatusBody | ErrorBody, retryAfterS?: number): void {
    this.openRequests--;
    const response = { type: 'respond', id, status, body } as const;
    this.context.emit(retryAfterS === undefined ? response : { ...response, retryAfterS });
  }

  /** Responds with the state of the job, without task counts. */
  respondJobStatus(id: number, job: string, state: JobState, status: HttpStatus = HttpStatus.ok): void {
    this.respond(id, status, encodeJobStatus(job, state));
  }

  respondNoSuchJob(id: number): void {
    this.respond(id, HttpStatus.notFound, NO_SUCH_JOB);
  }

  /** Responds that the request can't be served now and should be repeated. */
  respondUnavailable(id: number, reason: UnavailableReason): void {
    this.respond(id, HttpStatus.unavailable, errorBody(reason), RETRY_AFTER_S);
  }

  /** Returns why requests can't be answered from the replica now, or null if they can. */
  unavailableReason(now: Milliseconds): UnavailableReason | null {
    if (!this.context.replica.isLoaded) return UnavailableReason.notReady;
    return this.context.stateServiceAnswers(now) ? null : UnavailableReason.stateServiceSilent;
  }

  /**
   * Whether there are too many open requests or pending writes. One more request would delay all of them, or use connections
   * that workers need.
   */
  get isOverloaded(): boolean {
    const { settings, writer } = this.context;
    return (
      this.openRequests > settings.maxSockets / SOCKETS_PER_OPEN_REQUEST ||
      writer.queueLength > OVERLOAD_BACKLOG_S * settings.state.writesPerS
    );
  }

  /**
   * Returns a function that runs `respond`, unless a response to the request was sent already: a request may have several
   * possible responses, of which only the first is sent. If none was sent by `expiresAt`, the request is refused.
   */
  respondOnce(id: number, expiresAt: Milliseconds): (respond: () => void) => void {
    let isAnswered = false;
    const once = (respond: () => void) => {
      if (isAnswered) return;
      isAnswered = true;
      respond();
    };
    this.deadlines.add(expiresAt, () => once(() => this.respondUnavailable(id, UnavailableReason.stateServiceSilent)));
    return once;
  }

  /**
   * Calls `run` once the replica includes a read newer than `now`. If there is none by `expiresAt`, the request is refused.
   */
  afterBarrier(id: number, now: Milliseconds, expiresAt: Milliseconds, run: () => void): void {
    this.context.afterBarrier(now, run, expiresAt, () => this.respondUnavailable(id, UnavailableReason.stateServiceSilent));
  }

  /** Refuses requests that have timed out. */
  tick(now: Milliseconds): void {
    this.deadlines.runDue(now);
  }
}
