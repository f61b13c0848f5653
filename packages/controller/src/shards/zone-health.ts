/**
 * What the silence of a zone's machines says: that the zone is cut off, that many can't be reached, or that this controller
 * itself is cut off. Pure judgements of one tick's counts; owns no state.
 */
import type { PeerDirectory, SettingsView } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';

/** With fewer machines than this nothing is concluded from most of them not answering. */
const MIN_MACHINES_TO_JUDGE = 3;

/** In another zone without controllers that could be missed, this many silent machines are enough. */
const MIN_MACHINES_OF_REMOTE_ZONE = 2;

/** What is seen of those machines of a zone that belong to shards held here. */
export interface ZoneHealth {
  total: number;
  /** machines whose heartbeats came here recently */
  heard: number;
  /** machines that did not answer the last commands; a machine that is heard may be unreachable all the same */
  unanswered: number;
}

/** Are so many of the zone's machines unreachable that the cause isn't theirs? More than one, and over a quarter. */
export function isLossWidespread({ total, unanswered }: ZoneHealth): boolean {
  return unanswered > 1 && unanswered * 4 > total;
}

/** Are nearly all machines unreachable, three quarters or more? */
export function isNearlyAllUnanswered({ total, unanswered }: ZoneHealth): boolean {
  return total >= MIN_MACHINES_TO_JUDGE && unanswered * 4 >= total * 3;
}

/**
 * The machines by which this controller judges whether the fault is its own: those of its own zone where there are enough of
 * them, or else all.
 */
export function healthNearby(zones: ReadonlyMap<number, ZoneHealth>, ownZoneIndex: number): ZoneHealth {
  const own = zones.get(ownZoneIndex);
  if (own && own.total >= MIN_MACHINES_TO_JUDGE) return own;
  const all: ZoneHealth = { total: 0, heard: 0, unanswered: 0 };
  for (const { total, heard, unanswered } of zones.values()) {
    all.total += total;
    all.heard += heard;
    all.unanswered += unanswered;
  }
  return all;
}

/** A zone whose machines are all silent, or half of them and all of its controllers too, is cut off from here. */
export function isZoneCutOff(
  zone: string,
  { total, heard }: ZoneHealth,
  context: SettingsView & PeerDirectory,
  now: Milliseconds,
): boolean {
  const { settings } = context;
  if (zone === settings.zone) return total >= MIN_MACHINES_TO_JUDGE && heard === 0;
  const zonePeers = settings.controllers.filter((controller) => controller.zone === zone && controller.name !== settings.name);
  if (zonePeers.length === 0) return total >= MIN_MACHINES_OF_REMOTE_ZONE && heard === 0;
  return zonePeers.every((peer) => !context.isPeerAlive(peer.name, now)) && heard * 2 <= total;
}
