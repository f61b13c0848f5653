/** Answers to users: how many requests are open, which are refused for that, and which are out of time. */
import type { EffectSink, ReadBarrierSource, ReplicaView, SettingsView, StateFreshness, StateWriting } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';

/** Users wait 5 s for an answer to a submission or a cancellation. */
export const REQUEST_TIMEOUT_MS = 4000;

export const NO_SUCH_JOB = { error: 'no such job' };
export const NOT_READY = 'not ready';
export const STATE_SERVICE_UNAVAILABLE = 'the state service does not answer';

/** A user who is refused is to come back after so long. */
const RETRY_AFTER_S = 1;

/** Part of the connections that may wait for answers to users: workers need the others. */
const SOCKETS_PER_OPEN_REQUEST = 8;

/** Seconds of changes that may wait before a submission is refused. */
const OVERLOAD_BACKLOG_S = 6;

interface Deadline {
  at: Milliseconds;
  run: () => void;
}

/** What the client responses needs of its controller. */
type ClientResponsesContext = SettingsView & ReplicaView & StateWriting & StateFreshness & ReadBarrierSource & EffectSink;

export class ClientResponses {
  private openRequests = 0;
  /** kept in the order of their times: what waited for a reading first has less left */
  private readonly deadlines: Deadline[] = [];

  constructor(private readonly context: ClientResponsesContext) {}

  /** A request came, which will be answered once. */
  requestOpened(): void {
    this.openRequests++;
  }

  respond(id: number, status: number, body: unknown, retryAfterS?: number): void {
    this.openRequests--;
    const answer = { type: 'respond', id, status, body } as const;
    this.context.emit(retryAfterS === undefined ? answer : { ...answer, retryAfterS });
  }

  /** What can't be taken now is answered at once, and is to be asked again. */
  respondUnavailable(id: number, why: string): void {
    this.respond(id, 503, { error: why }, RETRY_AFTER_S);
  }

  /** Why nothing can be answered from the replica now, or null. */
  unavailableReason(now: Milliseconds): string | null {
    if (!this.context.replica.loaded) return NOT_READY;
    return this.context.stateServiceAnswers(now) ? null : STATE_SERVICE_UNAVAILABLE;
  }

  /**
   * So many wait already that one more would only make all of them late, or that connections
   * which workers need would go to users.
   */
  get isOverloaded(): boolean {
    const { settings, writer } = this.context;
    return (
      this.openRequests > settings.maxSockets / SOCKETS_PER_OPEN_REQUEST ||
      writer.length > OVERLOAD_BACKLOG_S * settings.state.writesPerS
    );
  }

  /**
   * A request that has several possible ends is answered by the first. The result runs an end unless another has;
   * at `until` the request is refused.
   */
  respondOnce(id: number, until: Milliseconds): (end: () => void) => void {
    let over = false;
    const end = (answer: () => void) => {
      if (over) return;
      over = true;
      answer();
    };
    this.addDeadline(until, () => end(() => this.respondUnavailable(id, STATE_SERVICE_UNAVAILABLE)));
    return end;
  }

  /** Runs once a reading newer than `now` is in; if none is by `until`, the request is refused. */
  afterBarrier(id: number, now: Milliseconds, until: Milliseconds, run: () => void): void {
    this.context.afterBarrier(now, run, until, () => this.respondUnavailable(id, STATE_SERVICE_UNAVAILABLE));
  }

  private addDeadline(at: Milliseconds, run: () => void): void {
    let index = this.deadlines.length;
    while (index > 0 && (this.deadlines[index - 1] as Deadline).at > at) index--;
    this.deadlines.splice(index, 0, { at, run });
  }

  tick(now: Milliseconds): void {
    while (this.deadlines.length > 0 && (this.deadlines[0] as Deadline).at <= now) this.deadlines.shift()?.run();
  }
}
