/** Answers to users: how many requests are open, which are refused for that, and which are out of time. */
import type { Context } from '../context/index.js';
import type { Ms } from '../model/index.js';

/** Users wait 5 s for an answer to a submission or a cancellation. */
export const REQUEST_MS = 4000;

export const NO_SUCH_JOB = { error: 'no such job' };
export const NOT_READY = 'not ready';
export const STATE_UNANSWERED = 'the state service does not answer';

/** A user who is refused is to come back after so long. */
const RETRY_AFTER_S = 1;

/** Part of the connections that may wait for answers to users: workers need the others. */
const SOCKETS_PER_OPEN_REQUEST = 8;

/** Seconds of changes that may wait before a submission is refused. */
const CROWDED_S = 6;

interface Deadline {
  at: Ms;
  run: () => void;
}

export class UserAnswers {
  private open = 0;
  /** kept in the order of their times: what waited for a reading first has less left */
  private readonly deadlines: Deadline[] = [];

  constructor(private readonly context: Context) {}

  /** A request came, which will be answered once. */
  opened(): void {
    this.open++;
  }

  answer(id: number, status: number, body: unknown, retryAfterS?: number): void {
    this.open--;
    const answer = { t: 'answer', id, status, body } as const;
    this.context.emit(retryAfterS === undefined ? answer : { ...answer, retryAfterS });
  }

  /** What can't be taken now is answered at once, and is to be asked again. */
  busy(id: number, why: string): void {
    this.answer(id, 503, { error: why }, RETRY_AFTER_S);
  }

  /** Why nothing can be answered from the replica now, or null. */
  unready(now: Ms): string | null {
    if (!this.context.replica.loaded) return NOT_READY;
    return this.context.storeOk(now) ? null : STATE_UNANSWERED;
  }

  /**
   * So many wait already that one more would only make all of them late, or that connections
   * which workers need would go to users.
   */
  get crowded(): boolean {
    const { settings, writer } = this.context;
    return this.open > settings.sockets / SOCKETS_PER_OPEN_REQUEST || writer.length > CROWDED_S * settings.state.writeRps;
  }

  /**
   * A request that has several possible ends is answered by the first. The result runs an end unless another has;
   * at `until` the request is refused.
   */
  once(id: number, until: Ms): (end: () => void) => void {
    let over = false;
    const end = (answer: () => void) => {
      if (over) return;
      over = true;
      answer();
    };
    this.expire(until, () => end(() => this.busy(id, STATE_UNANSWERED)));
    return end;
  }

  /** Runs once a reading newer than `now` is in; if none is by `until`, the request is refused. */
  afterBarrier(id: number, now: Ms, until: Ms, run: () => void): void {
    this.context.afterBarrier(now, run, until, () => this.busy(id, STATE_UNANSWERED));
  }

  private expire(at: Ms, run: () => void): void {
    let i = this.deadlines.length;
    while (i > 0 && (this.deadlines[i - 1] as Deadline).at > at) i--;
    this.deadlines.splice(i, 0, { at, run });
  }

  tick(now: Ms): void {
    while (this.deadlines.length > 0 && (this.deadlines[0] as Deadline).at <= now) this.deadlines.shift()?.run();
  }
}
