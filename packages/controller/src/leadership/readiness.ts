/** Whether this controller is ready for clients, as its readiness endpoint reports. Owns no state. */
import type { ClusterStateView, InputClock, PeerDirectory, ReplicaView, SettingsView, StateFreshness } from '../context/index.js';

type ReadinessContext = SettingsView & InputClock & ClusterStateView & ReplicaView & StateFreshness & PeerDirectory;

/**
 * Reports whether this controller is ready for clients. It becomes ready once it has loaded the stored state. It stays ready in
 * an outage of the state service that affects all controllers. It is not ready if it alone has lost the state service, or if no
 * peer is alive to compare with, so that its clients connect to another controller. The only controller of a cluster stays ready:
 * its clients have no other.
 */
export function isReadyForClients(context: ReadinessContext): boolean {
  const { replica, clusterState, peers, settings, now } = context;
  if (!replica.isLoaded || !clusterState.areMachineTypesKnown) return false;
  if (context.stateServiceAnswers(now)) return true;
  let isAnyPeerAlive = false;
  for (const [controller, { status }] of peers) {
    if (!context.isPeerAlive(controller, now)) continue;
    isAnyPeerAlive = true;
    if (status.stateServiceAnswers) return false;
  }
  return isAnyPeerAlive || settings.controllers.length === 1;
}
