/**
 * How fresh the copy of the stored state is, and whether the state service answers.
 *
 * Owns the times of the last answer, of the last reading and of the last pause of this process.
 */
import type { InputClock, StateFreshness } from '../context/index.js';
import { type Milliseconds, NEVER } from '../model/index.js';
import type { PauseListener } from './process-pause.js';

/** The watch and the renewals of the lease bring an answer more often than this while the service is there. */
const STATE_SERVICE_SILENT_MS = 4000;

/** After a pause decisions wait for a reading for so long at most: in an outage of the state service none comes. */
const MAX_CATCH_UP_MS = 3000;

/** What the answers of the state service say of its health, and of the age of what is known here. */
export class StateServiceFreshness implements StateFreshness, PauseListener {
  private readAt: Milliseconds = NEVER;
  private answeredAt: Milliseconds = NEVER;
  private pausedAt: Milliseconds = NEVER;

  constructor(private readonly clock: InputClock) {}

  get replicaFreshAt(): Milliseconds {
    return this.readAt;
  }

  stateServiceAnswers(now: Milliseconds): boolean {
    return now - this.answeredAt < STATE_SERVICE_SILENT_MS;
  }

  isCatchingUp(): boolean {
    return this.readAt < this.pausedAt && this.clock.now - this.pausedAt < MAX_CATCH_UP_MS;
  }

  /** All changes up to `asOf`, when the request for them was sent, have been read. Answers may come out of their order. */
  replicaRead(asOf: Milliseconds, now: Milliseconds): void {
    if (asOf > this.readAt) this.readAt = asOf;
    this.answeredAt = now;
  }

  /** The state service has answered, and served this controller. */
  stateServiceAnswered(now: Milliseconds): void {
    this.answeredAt = now;
  }

  processPaused(pausedMs: Milliseconds, now: Milliseconds): void {
    this.pausedAt = now;
    if (this.answeredAt > 0) this.answeredAt += pausedMs;
  }
}
