/**
 * The form of a status that is stored for the leader while the link to it is down. It has to fit one value of the state
 * service, so it holds what the leader needs most: unmet demands, machines without a shard, idle machines.
 *
 * Lists that don't fit are stored in turns: the first machines of a list could be such as the leader can't use, and would hide
 * the others for as long as the partition lasts. Pure functions; owns no state.
 */
import type { PeerStatus } from '@archpost/protocol';
import { roundRobinSlice } from '../model/index.js';
import { encodedBytes, encodeStatus } from '../state/index.js';

/** Most entries of each list of a status. */
interface ListLimits {
  /** idle machines of each shard */
  machines: number;
  /** demands of each shard */
  demands: number;
  unassignedMachines: number;
}

/** The limits that a status that doesn't fit whole is tried with first. */
const MAX_LIST_LIMITS: Readonly<ListLimits> = { machines: 15, demands: 8, unassignedMachines: 20 };

/**
 * The status with as much of its lists as fits a write of `maxBytes`, its key included. `turn`: how many statuses were stored
 * before; each turn holds other parts of the lists that don't fit. A status that doesn't fit even without them is returned all
 * the same: the writer drops it and logs that.
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

/** Without what is only ever taken from a status that came over a link. */
function withoutLinkFields(status: PeerStatus): PeerStatus {
  return { ...status, runningJobs: [], runningJobsComplete: false, unchangedHeartbeats: [] };
}

function shorten(status: PeerStatus, limits: ListLimits, turn: number): PeerStatus {
  return {
    ...status,
    unassignedMachines: roundRobinSlice(status.unassignedMachines, limits.unassignedMachines, turn),
    shards: status.shards.map((shard) => {
      // Machines with tasks on them can't be moved anyway.
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
 * Lowers the limit of the list that can best be spared; false if all are at zero. The demands are kept longest, and one machine
 * of each shard as long as any machine without a shard: demands are what the leader acts on.
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
