/**
 * The freshness required for starts: a task may start only while the replica is recent, since the user may have cancelled the
 * job in the meantime. Owns no state.
 */
import type { PeerDirectory, SettingsView, StateFreshness } from '../context/index.js';
import type { Job, Milliseconds } from '../model/index.js';

/** The watch delivers changes, or a notification that nothing changed, at shorter intervals than this. */
const MAX_WATCH_DELAY_MS = 4000;

/** In an outage of the state service, starts continue for this fraction of the time within which cancelled tasks must end. */
const MAX_AGE_CANCEL_FRACTION = 0.25;

/** Decides whether the replica is recent enough for starts. */
export class StartFreshness {
  constructor(private readonly context: SettingsView & StateFreshness & PeerDirectory) {}

  /**
   * Whether the replica is recent enough for starts. If the state service responds to no controller, none can read a newer state,
   * so starts continue for a fraction of the cancellation time. If it responds to another controller, starts stop once the watch
   * is late.
   */
  mayStart(now: Milliseconds): boolean {
    if (this.context.isCatchingUp()) return false;
    const ageMs = now - this.context.replicaFreshAt;
    if (ageMs < MAX_WATCH_DELAY_MS) return true;
    if (ageMs >= this.context.settings.workers.cancelS * 1000 * MAX_AGE_CANCEL_FRACTION) return false;
    return !this.isStateServiceReachedByPeer(now);
  }

  private isStateServiceReachedByPeer(now: Milliseconds): boolean {
    for (const [controller, peer] of this.context.peers)
      if (peer.status.stateServiceAnswers && this.context.isPeerAlive(controller, now)) return true;
    return false;
  }

  /**
   * Whether one of the job's tasks was stopped, without a stop from this controller, after the replica was last fresh. The job
   * may be cancelled, which only a newer state of the replica shows.
   */
  isStateUnconfirmed(job: Job): boolean {
    return this.context.replicaFreshAt < job.lastExternalStopAt;
  }
}
