/**
 * Estimates how long machines take to boot, by what their types took recently: boots can be late for all, for some, or never end.
 * Owns the boots of the last minutes and the count of machines that are overdue.
 */
import { type Milliseconds, NEVER } from '../model/index.js';
import { type InstanceKind, instanceKindKey } from './instance-kind.js';

/** PROTOCOL: boots usually take up to one and a half times what the cloud names. */
const EXPECTED_BOOT_FACTOR = 1.6;

/** A type whose machines took longer recently may take this many times as long again. */
const OBSERVED_BOOT_FACTOR = 1.3;

/** The limit is never more than this many times the expected one. */
const MAX_LIMIT_FACTOR = 3;

/** Boots that ended longer ago aren't counted: later ones of the type may be faster again. */
const OBSERVATION_WINDOW_MS = 180_000;

/** Boots of a type that are remembered. */
const MAX_OBSERVATIONS = 20;

/** So many machines of a kind overdue, and none that came up, mean that the kind fails to boot. */
const MIN_OVERDUE_TO_FAIL = 2;

/** A machine that came up. */
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

  /** A machine of the kind came up, `durationMs` after it was requested. */
  recordBoot(kind: InstanceKind, durationMs: Milliseconds, now: Milliseconds): void {
    const boots = (this.recentBoots.get(kind.type) ?? []).filter((boot) => now - boot.at < OBSERVATION_WINDOW_MS);
    boots.push({ at: now, durationMs });
    this.recentBoots.set(kind.type, boots.slice(-MAX_OBSERVATIONS));
    this.lastBootAt.set(instanceKindKey(kind), now);
  }

  /**
   * A machine of the type that isn't up after this long is overdue, and isn't counted on any more. `bootS`: the boot time that the
   * cloud names for the type, in seconds.
   */
  limitMs(type: string, bootS: number, now: Milliseconds): Milliseconds {
    let limitMs = EXPECTED_BOOT_FACTOR * bootS * 1000;
    for (const boot of this.recentBoots.get(type) ?? [])
      if (now - boot.at < OBSERVATION_WINDOW_MS) limitMs = Math.max(limitMs, OBSERVED_BOOT_FACTOR * boot.durationMs);
    return Math.min(limitMs, MAX_LIMIT_FACTOR * EXPECTED_BOOT_FACTOR * bootS * 1000);
  }

  /** Replaces what is known of overdue machines; `kinds` has the kind of each. */
  setOverdue(kinds: InstanceKind[]): void {
    this.overdueByKind.clear();
    for (const kind of kinds) {
      const key = instanceKindKey(kind);
      this.overdueByKind.set(key, (this.overdueByKind.get(key) ?? 0) + 1);
    }
  }

  /** Are several machines of the kind overdue, and has none come up within `limitMs`? Then other kinds are preferred. */
  isFailing(kind: InstanceKind, limitMs: Milliseconds, now: Milliseconds): boolean {
    const key = instanceKindKey(kind);
    if ((this.overdueByKind.get(key) ?? 0) < MIN_OVERDUE_TO_FAIL) return false;
    return now - (this.lastBootAt.get(key) ?? NEVER) > limitMs;
  }
}
