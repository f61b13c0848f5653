/** Whether this controller is ready for clients, as its readiness endpoint says. Owns no state. */
import type { ClusterStateView, InputClock, PeerDirectory, ReplicaView, SettingsView, StateFreshness } from '../context/index.js';

type ReadinessContext = SettingsView & InputClock & ClusterStateView & ReplicaView & StateFreshness & PeerDirectory;

/**
 * A controller is ready once it knows what the state service holds. In an outage of the state service that all controllers
 * share it stays ready; one that alone has lost the service, or sees no peer by which to judge, is not, so that its clients'
 * connections go elsewhere. A cluster of one controller has nowhere else.
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
