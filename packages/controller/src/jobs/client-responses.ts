/**
 * Responses to users, refusals because of overload and timeouts among them. Owns the number of open requests and the deadlines of
 * those that wait for the state service.
 */
import { encodeJobStatus, type JobState } from '@archpost/protocol';
import type { EffectSink, ReadBarrierSource, ReplicaView, SettingsView, StateFreshness, StateWriting } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { DeadlineQueue } from './deadline-queue.js';
import type { JobStatusBody } from './job-status.js';
import { type ErrorBody, errorBody, HttpStatus, NO_SUCH_JOB, UnavailableReason } from './response-bodies.js';

/** Users wait 5 s for an answer to a submission or a cancellation. */
export const REQUEST_TIMEOUT_MS = 4000;

/** After this long a user may repeat a request that couldn't be served. */
const RETRY_AFTER_S = 1;

/** One connection in this many may wait for a response to a user: workers need the others. */
const SOCKETS_PER_OPEN_REQUEST = 8;

/** A submission is refused while the pending writes would take longer than this. */
const OVERLOAD_BACKLOG_S = 6;

/** What responses need of the controller. */
type ClientResponsesContext = SettingsView & ReplicaView & StateWriting & StateFreshness & ReadBarrierSource & EffectSink;

/** Sends the one response to each request of a user. */
export class ClientResponses {
  private openRequests = 0;
  private readonly deadlines = new DeadlineQueue();

  constructor(private readonly context: ClientResponsesContext) {}

  /** A request came. `respond` is to be called for it exactly once. */
  requestOpened(): void {
    this.openRequests++;
  }

  /** `id`: of the request; `retryAfterS`: when it may be repeated, if it is to be. */
  respond(id: number, status: HttpStatus, body: JobStatusBody | ErrorBody, retryAfterS?: number): void {
    this.openRequests--;
    const response = { type: 'respond', id, status, body } as const;
    this.context.emit(retryAfterS === undefined ? response : { ...response, retryAfterS });
  }

  /** Responds with the state of the job, without counts of its tasks. */
  respondJobStatus(id: number, job: string, state: JobState, status: HttpStatus = HttpStatus.ok): void {
    this.respond(id, status, encodeJobStatus(job, state));
  }

  respondNoSuchJob(id: number): void {
    this.respond(id, HttpStatus.notFound, NO_SUCH_JOB);
  }

  /** The request can't be served now: the user is to repeat it. */
  respondUnavailable(id: number, reason: UnavailableReason): void {
    this.respond(id, HttpStatus.unavailable, errorBody(reason), RETRY_AFTER_S);
  }

  /** Why nothing can be answered from the replica now, or null. */
  unavailableReason(now: Milliseconds): UnavailableReason | null {
    if (!this.context.replica.isLoaded) return UnavailableReason.notReady;
    return this.context.stateServiceAnswers(now) ? null : UnavailableReason.stateServiceSilent;
  }

  /**
   * Are there too many open requests or pending writes? One more would only make all of them late, or take connections that
   * workers need.
   */
  get isOverloaded(): boolean {
    const { settings, writer } = this.context;
    return (
      this.openRequests > settings.maxSockets / SOCKETS_PER_OPEN_REQUEST ||
      writer.queueLength > OVERLOAD_BACKLOG_S * settings.state.writesPerS
    );
  }

  /**
   * For a request with several possible responses, of which the first is sent. Returns a function that runs a response unless
   * one has been sent; at `expiresAt` the request is refused if none has.
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

  /** Runs once a read newer than `now` is in; if none is at `expiresAt`, the request is refused. */
  afterBarrier(id: number, now: Milliseconds, expiresAt: Milliseconds, run: () => void): void {
    this.context.afterBarrier(now, run, expiresAt, () => this.respondUnavailable(id, UnavailableReason.stateServiceSilent));
  }

  /** Refuses the requests that are out of time. */
  tick(now: Milliseconds): void {
    this.deadlines.runDue(now);
  }
}
