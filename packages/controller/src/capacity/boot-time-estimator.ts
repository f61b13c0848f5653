import { type Milliseconds, NEVER } from '../model/index.js';
import { type InstanceKind, instanceKindKey } from './demand.js';

/** PROTOCOL: boots usually take up to one and a half times what the cloud names. */
const USUAL = 1.6;

/** What took longer lately may take longer again, by so much. */
const SPARE = 1.3;

/** Boots that ended within this time say how it stands; later ones of the kind may be better again. */
const RECENT_MS = 180_000;

/** So many of a kind late, and none that came up, mean that the kind fails. */
const FAILING = 2;

/**
 * How long machines take to come up, by what their types took lately: boots can be late for
 * all, for some, or never end.
 */
export class BootTimeEstimator {
  private readonly recent = new Map<string, { at: Milliseconds; ms: Milliseconds }[]>();
  private readonly lastBootAt = new Map<string, Milliseconds>();
  private readonly overdueByKind = new Map<string, number>();

  /** One came up that long after it was asked for. */
  recordBoot(kind: InstanceKind, ms: Milliseconds, now: Milliseconds): void {
    const list = (this.recent.get(kind.type) ?? []).filter((incarnation) => now - incarnation.at < RECENT_MS);
    list.push({ at: now, ms });
    this.recent.set(kind.type, list.slice(-20));
    this.lastBootAt.set(instanceKindKey(kind), now);
  }

  /** One that isn't up after this long is late: it is counted on no more. */
  limitMs(type: string, bootS: number, now: Milliseconds): Milliseconds {
    let limit = USUAL * bootS * 1000;
    for (const incarnation of this.recent.get(type) ?? [])
      if (now - incarnation.at < RECENT_MS) limit = Math.max(limit, SPARE * incarnation.ms);
    return Math.min(limit, 3 * USUAL * bootS * 1000);
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
      (this.overdueByKind.get(instanceKindKey(kind)) ?? 0) >= FAILING &&
      now - (this.lastBootAt.get(instanceKindKey(kind)) ?? NEVER) > limitMs
    );
  }
}
