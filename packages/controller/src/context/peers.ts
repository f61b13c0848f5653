/** The other controllers, as they are known here. */
import type { PeerStatus } from '@archpost/protocol';
import type { Milliseconds, RunningTasks } from '../model/index.js';

/** Another controller, by its last status. */
export interface PeerView {
  status: PeerStatus;
  /** tasks that run and are done there, by job */
  runningJobs: Map<string, RunningTasks>;
  heardAt: Milliseconds;
  /** the link to it stands; a status that came by way of the state service doesn't tell so */
  isConnected: boolean;
}

/** The other controllers by their names. */
export interface PeerDirectory {
  readonly peers: ReadonlyMap<string, PeerView>;
  /** Is its link up, and was it heard lately? */
  isPeerAlive(controller: string, now: Milliseconds): boolean;
}
