import { type Milliseconds, NEVER } from '../model/index.js';
import { type InstanceKind, instanceKindKey } from './instance-kind.js';

/** PROTOCOL: boots usually take up to one and a half times what the cloud names. */
const EXPECTED_BOOT_FACTOR = 1.6;

/** What took longer lately may take longer again, by so much. */
const OBSERVED_BOOT_FACTOR = 1.3;

/** Boots that ended within this time say how it stands; later ones of the kind may be better again. */
const OBSERVATION_WINDOW_MS = 180_000;

/** So many of a kind late, and none that came up, mean that the kind fails. */
const MIN_OVERDUE_TO_FAIL = 2;

/**
 * How long machines take to come up, by what their types took lately: boots can be late for
 * all, for some, or never end.
 */
export class BootTimeEstimator {
  private readonly recentBoots = new Map<string, { at: Milliseconds; durationMs: Milliseconds }[]>();
  private readonly lastBootAt = new Map<string, Milliseconds>();
  private readonly overdueByKind = new Map<string, number>();

  /** One came up that long after it was asked for. */
  recordBoot(kind: InstanceKind, durationMs: Milliseconds, now: Milliseconds): void {
    const boots = (this.recentBoots.get(kind.type) ?? []).filter((boot) => now - boot.at < OBSERVATION_WINDOW_MS);
    boots.push({ at: now, durationMs });
    this.recentBoots.set(kind.type, boots.slice(-20));
    this.lastBootAt.set(instanceKindKey(kind), now);
  }

  /** One that isn't up after this long is late: it is counted on no more. */
  limitMs(type: string, bootS: number, now: Milliseconds): Milliseconds {
    let limit = EXPECTED_BOOT_FACTOR * bootS * 1000;
    for (const boot of this.recentBoots.get(type) ?? [])
      if (now - boot.at < OBSERVATION_WINDOW_MS) limit = Math.max(limit, OBSERVED_BOOT_FACTOR * boot.durationMs);
    return Math.min(limit, 3 * EXPECTED_BOOT_FACTOR * bootS * 1000);
  }

  /** The machines that are late, of the kind of each. */
  setOverdue(kinds: InstanceKind[]): void {
    this.overdueByKind.clear();
    for (const kind of kinds)
      this.overdueByKind.set(instanceKindKey(kind), (this.overdueByKind.get(instanceKindKey(kind)) ?? 0) + 1);
  }

  /** Several are late and none has come up for as long as that: others are preferred meanwhile. */
  isFailing(kind: InstanceKind, limitMs: Milliseconds, now: Milliseconds): boolean {
    return (
      (this.overdueByKind.get(instanceKindKey(kind)) ?? 0) >= MIN_OVERDUE_TO_FAIL &&
      now - (this.lastBootAt.get(instanceKindKey(kind)) ?? NEVER) > limitMs
    );
  }
}
