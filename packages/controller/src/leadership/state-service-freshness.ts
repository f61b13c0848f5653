/**
 * How fresh the replica is, and whether the state service answers.
 *
 * Owns the times of the last response, of the last read and of the last pause of this process.
 */
import type { InputClock, StateFreshness } from '../context/index.js';
import { type Milliseconds, NEVER } from '../model/index.js';
import type { PauseListener } from './process-pause.js';

/** While the state service is available, the watch and the lease renewals bring a response more often than this. */
const STATE_SERVICE_SILENT_MS = 4000;

/** After a pause, decisions wait for a read for at most this long: in an outage of the state service none completes. */
const MAX_CATCH_UP_MS = 3000;

/** Derives the health of the state service and the age of the replica from the responses of the state service. */
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

  /**
   * Records that the replica has all changes up to `asOf`, the time when the request for them was sent. Responses may arrive out
   * of order.
   */
  recordReplicaRead(asOf: Milliseconds, now: Milliseconds): void {
    if (asOf > this.lastReadAt) this.lastReadAt = asOf;
    this.lastResponseAt = now;
  }

  /** Records a response with which the state service served this controller, not a refusal. */
  recordResponse(now: Milliseconds): void {
    this.lastResponseAt = now;
  }

  onProcessPaused(pausedMs: Milliseconds, now: Milliseconds): void {
    this.lastPauseAt = now;
    if (this.lastResponseAt > 0) this.lastResponseAt += pausedMs;
  }
}
