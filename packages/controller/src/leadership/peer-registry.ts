/**
 * The registry of peers: the last status of each other controller, received over its link or read from the state service, and
 * whether the controller is alive.
 *
 * Owns the peers' statuses.
 */
import type { PeerStatus } from '@archpost/protocol';
import type { PeerDirectory, ReplicaView, SettingsView } from '../context/index.js';
import type { Milliseconds, RunningTasks } from '../model/index.js';
import { parseStatus } from '../state/index.js';
import type { PauseListener } from './process-pause.js';

/**
 * A peer whose last status is older than this is considered dead, or its link is considered down. Statuses are sent every 0.7 s.
 */
const PEER_SILENT_MS = 3500;

interface Peer {
  status: PeerStatus;
  runningJobs: Map<string, RunningTasks>;
  lastStatusAt: Milliseconds;
  isConnected: boolean;
}

/** Keeps the last status of each peer. */
export class PeerRegistry implements PeerDirectory, PauseListener {
  private readonly registry = new Map<string, Peer>();
  readonly peers: PeerDirectory['peers'] = this.registry;

  constructor(private readonly context: SettingsView & ReplicaView) {}

  isPeerAlive(controller: string, now: Milliseconds): boolean {
    const peer = this.registry.get(controller);
    return peer?.isConnected === true && now - peer.lastStatusAt < PEER_SILENT_MS;
  }

  /** Records a status that arrived over the peer's link, which is therefore up. */
  receiveStatus(status: PeerStatus, now: Milliseconds): void {
    this.registry.set(status.node, { status, runningJobs: this.mergeRunningJobs(status), lastStatusAt: now, isConnected: true });
  }

  /**
   * Records a status that was read from the state service, where a peer stores it while its link to the leader is down. It is
   * used only while no statuses arrive over the peer's link to this controller: the state service is slower. It is ignored until
   * the replica is loaded, because its age is unknown until then, and if the stored value isn't a valid status.
   */
  receiveStoredStatus(stored: unknown, now: Milliseconds): void {
    const status = parseStatus(stored);
    if (status === null || status.node === this.context.settings.name || this.isPeerAlive(status.node, now)) return;
    if (!this.context.replica.isLoaded) return;
    this.registry.set(status.node, {
      status,
      runningJobs: this.registry.get(status.node)?.runningJobs ?? new Map(),
      lastStatusAt: now,
      isConnected: false,
    });
  }

  /** Records that the link to the peer is down. */
  peerDisconnected(controller: string): void {
    const peer = this.registry.get(controller);
    if (peer) peer.isConnected = false;
  }

  onProcessPaused(pausedMs: Milliseconds): void {
    for (const peer of this.registry.values()) peer.lastStatusAt += pausedMs;
  }

  /** Whether more machines of this type can be provisioned, by the status of the leading peer; false if no peer leads. */
  isTypeAvailable(type: string): boolean {
    for (const { status } of this.registry.values()) if (status.isLeader) return status.availableTypes.includes(type);
    return false;
  }

  /**
   * Returns the peer's running jobs as of this status, which lists all of them or only those that changed since the previous
   * status.
   */
  private mergeRunningJobs(status: PeerStatus): Map<string, RunningTasks> {
    const previous = status.runningJobsComplete ? undefined : this.registry.get(status.node)?.runningJobs;
    const runningJobs = previous ?? new Map<string, RunningTasks>();
    for (const { job, ...tasks } of status.runningJobs) {
      if (tasks.count > 0 || tasks.done > 0 || tasks.failed > 0) runningJobs.set(job, tasks);
      else runningJobs.delete(job);
    }
    return runningJobs;
  }
}
