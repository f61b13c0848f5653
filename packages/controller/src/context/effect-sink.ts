/** Where the parts of a controller put what they want done. */
import type { Effect, LogLevel } from '../model/index.js';

/** Takes effects, which the edges carry out once the input has been taken. */
export interface EffectSink {
  emit(effect: Effect): void;
  /** A number that no other effect of this controller has. */
  nextEffectId(): number;
}

/** Takes log lines, which are effects too. */
export interface Logger {
  log(level: LogLevel, message: string, fields?: Record<string, unknown>): void;
}
