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
  private lastReadAt: Milliseconds = NEVER;
  private lastResponseAt: Milliseconds = NEVER;
  private lastPauseAt: Milliseconds = NEVER;

  constructor(private readonly clock: InputClock) {}

  get replicaFreshAt(): Milliseconds {
    return this.lastReadAt;
  }

  stateServiceAnswers(now: Milliseconds): boolean {
    return now - this.lastResponseAt < STATE_SERVICE_SILENT_MS;
  }

  isCatchingUp(): boolean {
    return this.lastReadAt < this.lastPauseAt && this.clock.now - this.lastPauseAt < MAX_CATCH_UP_MS;
  }

  /** All changes up to `asOf`, when the request for them was sent, have been read. Answers may come out of their order. */
  recordReplicaRead(asOf: Milliseconds, now: Milliseconds): void {
    if (asOf > this.lastReadAt) this.lastReadAt = asOf;
    this.lastResponseAt = now;
  }

  /** The state service has answered, and served this controller. */
  recordResponse(now: Milliseconds): void {
    this.lastResponseAt = now;
  }

  processPaused(pausedMs: Milliseconds, now: Milliseconds): void {
    this.lastPauseAt = now;
    if (this.lastResponseAt > 0) this.lastResponseAt += pausedMs;
  }
}
