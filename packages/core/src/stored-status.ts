/**
 * A controller's status as it is stored for the leader while the link between them is down. It has to fit one
 * value of the state service, so it tells what the leader needs most: waiting work, new machines, idle machines.
 */
import type { PeerStatus } from '@archpost/wire';
import { encodedBytes } from './state-limits.js';

const MOST_MACHINES = 15;
const MOST_DEMANDS = 8;
const MOST_UNGRANTED = 20;
const MOST_HEARD = 100;

/** The longest lists of a status that are still told. */
interface Lengths {
  machines: number;
  demands: number;
  ungranted: number;
  heard: number;
}

function shorten(status: PeerStatus, most: Lengths): PeerStatus {
  return {
    ...status,
    running: [],
    runningAll: false,
    heard: status.heard.slice(0, most.heard),
    strangers: status.strangers.slice(0, most.ungranted),
    shares: status.shares.map((share) => ({
      ...share,
      // Machines that bear work can't be moved anyway.
      machines: share.machines.filter((machine) => machine.tasks === 0).slice(0, most.machines),
      demands: share.demands.slice(0, most.demands),
    })),
  };
}

/** The status with as much of its lists as fits. */
export function fitStatus(key: string, status: PeerStatus, changeBytes: number): PeerStatus {
  const whole: PeerStatus = { ...shorten(status, { ...LONGEST }), shares: status.shares };
  if (encodedBytes(key, whole) <= changeBytes) return whole;
  const most: Lengths = { ...LONGEST };
  let short = shorten(status, most);
  while (encodedBytes(key, short) > changeBytes && Object.values(most).some((length) => length > 0)) {
    // What was heard is told again by the next status; waiting work is what the others act on.
    if (most.heard > 0) most.heard = Math.floor(most.heard / 2);
    else if (most.machines > 1) most.machines = Math.floor(most.machines / 2);
    else if (most.demands > 1) most.demands = Math.floor(most.demands / 2);
    else if (most.ungranted > 0) most.ungranted = Math.floor(most.ungranted / 2);
    else if (most.machines > 0) most.machines = 0;
    else most.demands = 0;
    short = shorten(status, most);
  }
  return short;
}

const LONGEST: Readonly<Lengths> = {
  machines: MOST_MACHINES,
  demands: MOST_DEMANDS,
  ungranted: MOST_UNGRANTED,
  heard: MOST_HEARD,
};
