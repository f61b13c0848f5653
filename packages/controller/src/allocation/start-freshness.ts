/**
 * Freshness of starts: a task may start only while its job's state is known to be recent, since its user may have cancelled the
 * job. Reads how fresh the replica is; owns nothing.
 */
import type { PeerDirectory, SettingsView, StateFreshness } from '../context/index.js';
import type { Job, Milliseconds } from '../model/index.js';

/** The watch brings something, if only that nothing changed, more often than this. */
const MAX_WATCH_DELAY_MS = 4000;

/** In an outage of the state service, starts go on for this part of the time in which cancelled work has to be gone. */
const MAX_AGE_OF_CANCEL_TIME = 0.25;

/** Says whether the state that is known here is recent enough for starts. */
export class StartFreshness {
  constructor(private readonly context: SettingsView & StateFreshness & PeerDirectory) {}

  /**
   * In an outage of all controllers nobody can confirm the jobs' state, so a while more is allowed; while another controller
   * is answered by the state service and this one isn't, no longer than the watch takes.
   */
  mayStart(now: Milliseconds): boolean {
    if (this.context.isCatchingUp()) return false;
    const ageMs = now - this.context.replicaFreshAt;
    if (ageMs < MAX_WATCH_DELAY_MS) return true;
    if (ageMs >= this.context.settings.workers.cancelS * 1000 * MAX_AGE_OF_CANCEL_TIME) return false;
    return !this.isStateServiceReachedByPeer(now);
  }

  private isStateServiceReachedByPeer(now: Milliseconds): boolean {
    for (const [controller, peer] of this.context.peers)
      if (peer.status.stateServiceAnswers && this.context.isPeerAlive(controller, now)) return true;
    return false;
  }

  /** Somebody else stopped one of the job's tasks: cancelled perhaps, which only a newer read can show. */
  isStateUnconfirmed(job: Job): boolean {
    return this.context.replicaFreshAt < job.stoppedByOthersAt;
  }
}
