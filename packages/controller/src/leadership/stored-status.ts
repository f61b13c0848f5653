/**
 * A controller's status as it is stored for the leader while the link between them is down. It has to fit one
 * value of the state service, so it tells what the leader needs most: waiting work, new machines, idle machines.
 * What doesn't fit is told in turn by the statuses that follow: the first machines of a list could be such as the
 * leader can't use, and would hide the others for as long as the cut lasts.
 */
import type { PeerStatus } from '@archpost/protocol';
import { roundRobinSlice } from '../model/index.js';
import { encodedBytes, encodeStatus } from '../state/index.js';

const MOST_MACHINES = 15;
const MOST_DEMANDS = 8;
const MOST_UNGRANTED = 20;

/** The longest lists of a status that are still told. */
interface Lengths {
  machines: number;
  demands: number;
  ungranted: number;
}

const LONGEST: Readonly<Lengths> = {
  machines: MOST_MACHINES,
  demands: MOST_DEMANDS,
  ungranted: MOST_UNGRANTED,
};

/** What of a status the leader reads nowhere else, without what it never takes from a stored one. */
function essential(status: PeerStatus): PeerStatus {
  return { ...status, runningJobs: [], runningJobsComplete: false, unchangedHeartbeats: [] };
}

function shorten(status: PeerStatus, limit: Lengths, turn: number): PeerStatus {
  return {
    ...status,
    unassignedMachines: roundRobinSlice(status.unassignedMachines, limit.ungranted, turn),
    shards: status.shards.map((shard) => ({
      ...shard,
      // Machines that bear work can't be moved anyway.
      machines: roundRobinSlice(
        shard.machines.filter((machine) => machine.tasks === 0),
        limit.machines,
        turn,
      ),
      demands: shard.demands.slice(0, limit.demands),
    })),
  };
}

/** The status with as much of its lists as fits; each turn tells other parts of those that don't. */
export function fitStoredStatus(key: string, status: PeerStatus, changeBytes: number, turn = 0): PeerStatus {
  const whole = essential(status);
  if (encodedBytes(key, encodeStatus(whole)) <= changeBytes) return whole;
  const limit: Lengths = { ...LONGEST };
  let short = shorten(whole, limit, turn);
  while (encodedBytes(key, encodeStatus(short)) > changeBytes && Object.values(limit).some((length) => length > 0)) {
    // Waiting work is what the others act on.
    if (limit.machines > 1) limit.machines = Math.floor(limit.machines / 2);
    else if (limit.demands > 1) limit.demands = Math.floor(limit.demands / 2);
    else if (limit.ungranted > 0) limit.ungranted = Math.floor(limit.ungranted / 2);
    else if (limit.machines > 0) limit.machines = 0;
    else limit.demands = 0;
    short = shorten(whole, limit, turn);
  }
  return short;
}
