/**
 * Estimates boot times from recent boots of the same type: boots may be slow for some time, all or only some of them, or may
 * never complete. Owns the boots of the last minutes and the number of overdue machines of each kind.
 */
import { type Milliseconds, NEVER } from '../model/index.js';
import { type InstanceKind, instanceKindKey } from './instance-kind.js';

/** PROTOCOL: boots usually take up to 1.5 times the boot time that the cloud states. */
const EXPECTED_BOOT_FACTOR = 1.6;

/** The margin on the longest recent boot of a type. */
const OBSERVED_BOOT_FACTOR = 1.3;

/** The limit is at most this multiple of the expected boot time. */
const MAX_LIMIT_FACTOR = 3;

/** Older boots are ignored, since the type may boot faster again. */
const OBSERVATION_WINDOW_MS = 180_000;

/** The number of recent boots kept for each type. */
const MAX_OBSERVATIONS = 20;

/** A kind fails to boot when at least this many of its machines are overdue and none has come up. */
const MIN_OVERDUE_TO_FAIL = 2;

/** The boot of a machine that came up. */
interface ObservedBoot {
  at: Milliseconds;
  durationMs: Milliseconds;
}

/** The boot times and overdue machines of all kinds. */
export class BootTimeEstimator {
  /** by type */
  private readonly recentBoots = new Map<string, ObservedBoot[]>();
  /** by kind */
  private readonly lastBootAt = new Map<string, Milliseconds>();
  private readonly overdueByKind = new Map<string, number>();

  /** Records that a machine of the kind came up `durationMs` after it was requested. */
  recordBoot(kind: InstanceKind, durationMs: Milliseconds, now: Milliseconds): void {
    const boots = (this.recentBoots.get(kind.type) ?? []).filter((boot) => now - boot.at < OBSERVATION_WINDOW_MS);
    boots.push({ at: now, durationMs });
    this.recentBoots.set(kind.type, boots.slice(-MAX_OBSERVATIONS));
    this.lastBootAt.set(instanceKindKey(kind), now);
  }

  /**
   * Returns the boot time limit of the type: a machine that isn't up after this time is overdue. `bootS` is the boot time that
   * the cloud states for the type, in seconds.
   */
  limitMs(type: string, bootS: number, now: Milliseconds): Milliseconds {
    let limitMs = EXPECTED_BOOT_FACTOR * bootS * 1000;
    for (const boot of this.recentBoots.get(type) ?? [])
      if (now - boot.at < OBSERVATION_WINDOW_MS) limitMs = Math.max(limitMs, OBSERVED_BOOT_FACTOR * boot.durationMs);
    return Math.min(limitMs, MAX_LIMIT_FACTOR * EXPECTED_BOOT_FACTOR * bootS * 1000);
  }

  /** Replaces the set of overdue machines: `kinds` contains the kind of each. */
  setOverdue(kinds: InstanceKind[]): void {
    this.overdueByKind.clear();
    for (const kind of kinds) {
      const key = instanceKindKey(kind);
      this.overdueByKind.set(key, (this.overdueByKind.get(key) ?? 0) + 1);
    }
  }

  /** Whether several machines of the kind are overdue and none has come up within the last `limitMs`. */
  isFailing(kind: InstanceKind, limitMs: Milliseconds, now: Milliseconds): boolean {
    const key = instanceKindKey(kind);
    if ((this.overdueByKind.get(key) ?? 0) < MIN_OVERDUE_TO_FAIL) return false;
    return now - (this.lastBootAt.get(key) ?? NEVER) > limitMs;
  }
}
