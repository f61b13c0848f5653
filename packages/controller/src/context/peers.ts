/** The other controllers, according to the statuses that they send. */
import type { PeerStatus } from '@archpost/protocol';
import type { Milliseconds, RunningTasks } from '../model/index.js';

/** Another controller, according to its last status. */
export interface PeerView {
  readonly status: PeerStatus;
  /** task counts of the jobs at that controller, by job id; for display only */
  readonly runningJobs: ReadonlyMap<string, RunningTasks>;
  /** when its last status arrived, by this controller's monotonic clock */
  readonly lastStatusAt: Milliseconds;
  /** Whether the link to it is up. A status that was read from the state service doesn't imply that. */
  readonly isConnected: boolean;
}

/** The other controllers by name. A controller from which no status has arrived is not included. */
export interface PeerDirectory {
  readonly peers: ReadonlyMap<string, PeerView>;

  /** Reports whether the link to the controller is up and a status arrived within the last seconds. */
  isPeerAlive(controller: string, now: Milliseconds): boolean;
}
