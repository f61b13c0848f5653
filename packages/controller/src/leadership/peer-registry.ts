/**
 * The registry of peers: the last status of each other controller, by its link or by way of the state service, and whether the
 * controller is alive.
 *
 * Owns the peers' statuses.
 */
import type { PeerStatus } from '@archpost/protocol';
import type { PeerDirectory, ReplicaView, SettingsView } from '../context/index.js';
import type { Milliseconds, RunningTasks } from '../model/index.js';
import { parseStatus } from '../state/index.js';
import type { PauseListener } from './process-pause.js';

/** A peer that was silent for longer is taken to be dead, or its link to be down. Statuses come every 0.7 s. */
const PEER_SILENT_MS = 3500;

interface Peer {
  status: PeerStatus;
  runningJobs: Map<string, RunningTasks>;
  lastStatusAt: Milliseconds;
  isConnected: boolean;
}

/** The other controllers, as their statuses describe them. */
export class PeerRegistry implements PeerDirectory, PauseListener {
  private readonly registry = new Map<string, Peer>();
  readonly peers: PeerDirectory['peers'] = this.registry;

  constructor(private readonly context: SettingsView & ReplicaView) {}

  isPeerAlive(controller: string, now: Milliseconds): boolean {
    const peer = this.registry.get(controller);
    return peer?.isConnected === true && now - peer.lastStatusAt < PEER_SILENT_MS;
  }

  /** A status came over the peer's link, which therefore is up. */
  receiveStatus(status: PeerStatus, now: Milliseconds): void {
    this.registry.set(status.node, { status, runningJobs: this.mergeRunningJobs(status), lastStatusAt: now, isConnected: true });
  }

  /**
   * A peer's status was read from the state service, where it is stored while its link to the leader is down. It counts only
   * while the link to here is silent too: the state service is slower. Until the replica is loaded its age isn't known, so it
   * is ignored. So is a value that is no status.
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

  /** The link to the peer is down. */
  peerDisconnected(controller: string): void {
    const peer = this.registry.get(controller);
    if (peer) peer.isConnected = false;
  }

  processPaused(pausedMs: Milliseconds): void {
    for (const peer of this.registry.values()) peer.lastStatusAt += pausedMs;
  }

  /** Can more machines of this type be provisioned, by the status of the peer that leads? False if none is known to lead. */
  isTypeAvailable(type: string): boolean {
    for (const { status } of this.registry.values()) if (status.isLeader) return status.availableTypes.includes(type);
    return false;
  }

  /** The running jobs of the peer: a status brings all of them, or those that changed since the one before. */
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
