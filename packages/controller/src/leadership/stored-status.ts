/**
 * The form of a status that is stored for the leader while the link to it is down. It has to fit one value of the state
 * service, so it contains what the leader needs most: unmet demands, machines without a shard, idle machines.
 *
 * Lists that don't fit are stored in parts, one per status. If only the first part were stored, and the leader couldn't use the
 * machines in it, the other machines would stay hidden for as long as the partition lasts. Pure functions; owns no state.
 */
import type { PeerStatus } from '@archpost/protocol';
import { roundRobinSlice } from '../model/index.js';
import { encodedBytes, encodeStatus } from '../state/index.js';

/** Maximum number of entries in each list of a status. */
interface ListLimits {
  /** idle machines of each shard */
  machines: number;
  /** demands of each shard */
  demands: number;
  unassignedMachines: number;
}

/** The limits that are tried first if the whole status doesn't fit. */
const MAX_LIST_LIMITS: Readonly<ListLimits> = { machines: 15, demands: 8, unassignedMachines: 20 };

/**
 * Shortens the lists of the status until it fits a write of `maxBytes`, its key included. `turn`: how many statuses were stored
 * before; each turn contains other parts of the lists that don't fit. A status that doesn't fit even with empty lists is returned
 * anyway: the writer drops and logs it.
 */
export function fitStoredStatus(key: string, status: PeerStatus, maxBytes: number, turn = 0): PeerStatus {
  const full = withoutLinkFields(status);
  if (isWithin(key, full, maxBytes)) return full;
  const limits: ListLimits = { ...MAX_LIST_LIMITS };
  let shortened = shorten(full, limits, turn);
  while (!isWithin(key, shortened, maxBytes) && lowerLimits(limits)) shortened = shorten(full, limits, turn);
  return shortened;
}

function isWithin(key: string, status: PeerStatus, maxBytes: number): boolean {
  return encodedBytes(key, encodeStatus(status)) <= maxBytes;
}

/** Clears the fields that receivers use only from a status that arrived over a link. */
function withoutLinkFields(status: PeerStatus): PeerStatus {
  return { ...status, runningJobs: [], runningJobsComplete: false, unchangedHeartbeats: [] };
}

function shorten(status: PeerStatus, limits: ListLimits, turn: number): PeerStatus {
  return {
    ...status,
    unassignedMachines: roundRobinSlice(status.unassignedMachines, limits.unassignedMachines, turn),
    shards: status.shards.map((shard) => {
      // Machines that run tasks can't be moved, so the leader doesn't need them.
      const idleMachines = shard.machines.filter((machine) => machine.tasks === 0);
      return {
        ...shard,
        machines: roundRobinSlice(idleMachines, limits.machines, turn),
        demands: shard.demands.slice(0, limits.demands),
      };
    }),
  };
}

/**
 * Lowers the limit of the list that the leader needs least; false if all limits are zero. Demands are kept longest because the
 * leader acts on them. One machine of each shard is kept as long as any machine without a shard.
 */
function lowerLimits(limits: ListLimits): boolean {
  if (limits.machines > 1) limits.machines = Math.floor(limits.machines / 2);
  else if (limits.demands > 1) limits.demands = Math.floor(limits.demands / 2);
  else if (limits.unassignedMachines > 0) limits.unassignedMachines = Math.floor(limits.unassignedMachines / 2);
  else if (limits.machines > 0) limits.machines = 0;
  else if (limits.demands > 0) limits.demands = 0;
  else return false;
  return true;
}
