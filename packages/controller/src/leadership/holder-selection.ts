/**
 * Selection of lease holders: which controller should hold a lease, and which controllers are fit to hold shards. Each
 * controller decides from its own view of its peers, so two may disagree briefly; the compare-and-swap on the lease key resolves
 * the conflict.
 *
 * Owns no state.
 */
import type { ClusterStateView, LeaseName, PeerDirectory, SettingsView } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { preferredHolderIndex } from './lease-names.js';

type HolderSelectionContext = SettingsView & ClusterStateView & PeerDirectory;

/** Evaluates controllers as lease holders. */
export class HolderSelection {
  constructor(private readonly context: HolderSelectionContext) {}

  /** Returns the name of the controller that should hold the lease whenever that controller is fit to hold it. */
  preferredHolder(lease: LeaseName): string {
    const { controllers, name } = this.context.settings;
    return controllers[preferredHolderIndex(lease, controllers.length)]?.name ?? name;
  }

  /**
   * Whether the peer is fit to hold shards: it is alive, may answer workers, is served by the state service, and can reach
   * workers.
   */
  canHoldShards(controller: string, now: Milliseconds): boolean {
    const status = this.context.peers.get(controller)?.status;
    return (
      this.context.isPeerAlive(controller, now) &&
      status?.mayAnswerWorkers === true &&
      status.stateServiceAnswers &&
      status.reachesWorkers
    );
  }

  /** Whether any peer is fit to hold shards. */
  canAnyPeerHoldShards(now: Milliseconds): boolean {
    const { controllers, name: self } = this.context.settings;
    return controllers.some(({ name }) => name !== self && this.canHoldShards(name, now));
  }

  /** Whether the controller holds neither a shard lease nor the leader lease. */
  holdsNoLease(controller: string): boolean {
    for (const { holder } of this.context.clusterState.leasesByName.values()) if (holder.controller === controller) return false;
    return true;
  }
}
