/**
 * The interfaces through which the parts of a controller emit effects. The I/O layer executes effects in the order in which they
 * were emitted, after the input has been processed.
 */
import type { Effect, LogFields, LogLevel } from '../model/index.js';

/** Collects effects, which the I/O layer executes after the input has been processed. */
export interface EffectSink {
  /** Appends an effect. If it has an outcome, the outcome arrives as an input with the effect's id. */
  emit(effect: Effect): void;

  /** Returns a positive effect id that is unique within this controller. */
  nextEffectId(): number;
}

/** Writes log lines, which are effects too. */
export interface Logger {
  /**
   * Writes a log line. `message` is one of the fixed texts in docs/operations/logs.md, which operators search for; variable data
   * goes into `fields`.
   */
  log(level: LogLevel, message: string, fields?: LogFields): void;
}
