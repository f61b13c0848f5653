/**
 * The buffer of emitted effects. Owns the effects that the I/O layer has not taken yet, and the sequence of effect ids.
 */
import type { EffectSink, Logger } from './context/index.js';
import type { Effect, LogFields, LogLevel } from './model/index.js';

/** Collects effects in the order in which they are emitted. */
export class EffectBuffer implements EffectSink, Logger {
  private effects: Effect[] = [];
  private nextId = 1;

  emit(effect: Effect): void {
    this.effects.push(effect);
  }

  nextEffectId(): number {
    return this.nextId++;
  }

  log(level: LogLevel, message: string, fields?: LogFields): void {
    this.effects.push(fields ? { type: 'log', level, message, fields } : { type: 'log', level, message });
  }

  /** Returns and removes the effects emitted since the last call, in order. The caller executes them. */
  take(): Effect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }
}
