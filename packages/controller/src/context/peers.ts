/** The other controllers, as this one knows them. */
import type { PeerStatus } from '@archpost/protocol';
import type { Milliseconds, RunningTasks } from '../model/index.js';

/** Another controller, by its last status. */
export interface PeerView {
  readonly status: PeerStatus;
  /** tasks that run, are done or failed there, by job id; for display only */
  readonly runningJobs: ReadonlyMap<string, RunningTasks>;
  /** when its last status came, by this controller's steady clock */
  readonly heardAt: Milliseconds;
  /** Is the link to it up? A status that came by way of the state service doesn't say so. */
  readonly isConnected: boolean;
}

/** The other controllers by their names. A controller that was never heard is missing. */
export interface PeerDirectory {
  readonly peers: ReadonlyMap<string, PeerView>;

  /** Is the link to it up, and did a status come over it within the last seconds? */
  isPeerAlive(controller: string, now: Milliseconds): boolean;
}
