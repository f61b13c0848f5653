/**
 * Evaluates the machine counts of a zone: whether the zone is cut off, whether many of its machines are unreachable, or whether
 * this controller itself is cut off. Pure functions of the counts of one tick; owns no state.
 */
import type { PeerDirectory, SettingsView } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';

/** Minimum number of machines for a conclusion from their silence or missing responses. */
const MIN_MACHINES_TO_CONCLUDE = 3;

/** The same for the silence of another zone that has no other controllers whose silence could confirm it. */
const MIN_MACHINES_OF_REMOTE_ZONE = 2;

/** Counts of the machines of a zone that belong to held shards. */
export interface ZoneHealth {
  total: number;
  /** machines whose heartbeats recently arrived at this controller */
  inContact: number;
  /** machines that did not respond to their last commands, including machines whose heartbeats arrive */
  unanswered: number;
}

/**
 * Whether so many machines of the zone are unreachable that the machines are unlikely to be the cause: more than one, and more
 * than a quarter.
 */
export function isLossWidespread({ total, unanswered }: ZoneHealth): boolean {
  return unanswered > 1 && unanswered * 4 > total;
}

/** Whether at least three quarters of the machines are unreachable. */
export function isNearlyAllUnanswered({ total, unanswered }: ZoneHealth): boolean {
  return total >= MIN_MACHINES_TO_CONCLUDE && unanswered * 4 >= total * 3;
}

/**
 * Returns the counts from which this controller concludes whether it is itself cut off: those of its own zone if that has enough
 * machines, or else those of all zones together.
 */
export function referenceHealth(zones: ReadonlyMap<number, ZoneHealth>, ownZoneIndex: number): ZoneHealth {
  const own = zones.get(ownZoneIndex);
  if (own && own.total >= MIN_MACHINES_TO_CONCLUDE) return own;
  const all: ZoneHealth = { total: 0, inContact: 0, unanswered: 0 };
  for (const { total, inContact, unanswered } of zones.values()) {
    all.total += total;
    all.inContact += inContact;
    all.unanswered += unanswered;
  }
  return all;
}

/**
 * Whether the zone is cut off from this controller. Another zone that has controllers is cut off if none of them is alive and at
 * least half of the zone's machines are silent. A zone without other controllers, and this controller's own zone, are cut off if
 * all of their machines are silent and there are enough machines for this conclusion.
 */
export function isZoneCutOff(
  zone: string,
  { total, inContact }: ZoneHealth,
  context: SettingsView & PeerDirectory,
  now: Milliseconds,
): boolean {
  const { settings } = context;
  if (zone === settings.zone) return total >= MIN_MACHINES_TO_CONCLUDE && inContact === 0;
  const zonePeers = settings.controllers.filter((controller) => controller.zone === zone && controller.name !== settings.name);
  if (zonePeers.length === 0) return total >= MIN_MACHINES_OF_REMOTE_ZONE && inContact === 0;
  return zonePeers.every((peer) => !context.isPeerAlive(peer.name, now)) && inContact * 2 <= total;
}
