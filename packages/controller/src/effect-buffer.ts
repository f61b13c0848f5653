/**
 * The effects of the inputs taken so far. Owns those that the edges haven't taken yet, and the numbering of effects.
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

  /** The effects since the last call, in their order. The caller carries them out. */
  take(): Effect[] {
    const taken = this.effects;
    this.effects = [];
    return taken;
  }
}
