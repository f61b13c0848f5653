/**
 * Where the parts of a controller put what they want done. Effects leave in the order in which they were emitted, when the
 * edges have finished with the input.
 */
import type { Effect, LogFields, LogLevel } from '../model/index.js';

/** Takes effects, which the edges carry out once the input has been taken. */
export interface EffectSink {
  /** Appends an effect. Its outcome, if it has one, comes back as an input that names the effect's id. */
  emit(effect: Effect): void;

  /** A positive number that no other effect of this controller has. */
  nextEffectId(): number;
}

/** Takes log lines, which are effects too. */
export interface Logger {
  /** `message` is one of the fixed texts of README's table, which operators search for; what varies goes into `fields`. */
  log(level: LogLevel, message: string, fields?: LogFields): void;
}
