import type { Ms } from '../model/index.js';
import { type Kind, kindKey } from './demand.js';

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
export class Boots {
  private readonly recent = new Map<string, { at: Ms; ms: Ms }[]>();
  private readonly upAt = new Map<string, Ms>();
  private readonly lateNow = new Map<string, number>();

  /** One came up that long after it was asked for. */
  up(k: Kind, ms: Ms, now: Ms): void {
    const list = (this.recent.get(k.type) ?? []).filter((x) => now - x.at < RECENT_MS);
    list.push({ at: now, ms });
    this.recent.set(k.type, list.slice(-20));
    this.upAt.set(kindKey(k), now);
  }

  /** One that isn't up after this long is late: it is counted on no more. */
  limitMs(type: string, bootS: number, now: Ms): Ms {
    let most = USUAL * bootS * 1000;
    for (const x of this.recent.get(type) ?? []) if (now - x.at < RECENT_MS) most = Math.max(most, SPARE * x.ms);
    return Math.min(most, 3 * USUAL * bootS * 1000);
  }

  /** The machines that are late, of the kind of each. */
  setLate(kinds: Kind[]): void {
    this.lateNow.clear();
    for (const k of kinds) this.lateNow.set(kindKey(k), (this.lateNow.get(kindKey(k)) ?? 0) + 1);
  }

  /** Several are late and none has come up for as long as that: others are preferred meanwhile. */
  failing(k: Kind, limitMs: Ms, now: Ms): boolean {
    return (this.lateNow.get(kindKey(k)) ?? 0) >= FAILING && now - (this.upAt.get(kindKey(k)) ?? -1e12) > limitMs;
  }
}
