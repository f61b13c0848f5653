/**
 * Which controller should hold a lease, and which is fit to. Every controller decides by its own view of the others, so two may
 * differ for a moment: the compare-and-swap on the lease's key settles it.
 *
 * Owns no state.
 */
import type { ClusterStateView, LeaseName, PeerDirectory, SettingsView } from '../context/index.js';
import type { Milliseconds } from '../model/index.js';
import { preferredHolderIndex } from './lease-names.js';

type HolderSelectionContext = SettingsView & ClusterStateView & PeerDirectory;

/** Looks at the other controllers as possible holders. */
export class HolderSelection {
  constructor(private readonly context: HolderSelectionContext) {}

  /** The controller that should hold the lease while it is fit to. */
  preferredHolder(lease: LeaseName): string {
    const { controllers, name } = this.context.settings;
    return controllers[preferredHolderIndex(lease, controllers.length)]?.name ?? name;
  }

  /** Is the other controller fit to hold shards: alive, served by the state service, and able to reach workers? */
  canHoldShards(controller: string, now: Milliseconds): boolean {
    const status = this.context.peers.get(controller)?.status;
    return (
      this.context.isPeerAlive(controller, now) &&
      status?.mayAnswerWorkers === true &&
      status.stateServiceAnswers &&
      status.reachesWorkers
    );
  }

  /** Is any other controller fit to hold shards? */
  canAnyPeerHoldShards(now: Milliseconds): boolean {
    const { controllers, name: self } = this.context.settings;
    return controllers.some(({ name }) => name !== self && this.canHoldShards(name, now));
  }

  /** Does the controller hold neither a shard nor the leader's lease? */
  holdsNoLease(controller: string): boolean {
    for (const { holder } of this.context.clusterState.leasesByName.values()) if (holder.controller === controller) return false;
    return true;
  }
}
