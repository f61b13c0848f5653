/** Invariants of a controller's state, checked at every step in addition to the externally observable rules. */
import type { ControllerVersion, SimulatedCluster, SimulatedController } from '../simulation/index.js';

/**
 * Checks that no job is allocated while it waits for a dependency or is cancelled only through one. The cancellation of
 * dependents is derived, not stored, which is safe only for jobs without allocations (docs/design.md, "Pipelines"). Controllers
 * that run the version `old` are not checked.
 */
export function checkDerivedState(cluster: SimulatedCluster, old: ControllerVersion | undefined): void {
  for (const node of cluster.controllers) if (node.up && node.runningVersion !== old) checkJobs(cluster, node);
}

function checkJobs(cluster: SimulatedCluster, node: SimulatedController): void {
  const { clusterState, replica } = node.controller;
  for (const job of clusterState.jobs.values()) {
    if (job.tenure.allocations.size === 0) continue;
    const { id } = job.spec;
    if (job.isBlocked) cluster.fail(`${id} waits for a dependency at ${node.name} but has an allocation`);
    const stored = replica.get(`a/j/${id}`)?.value as { s: number } | undefined;
    const isDerived = job.state === 'cancelled' && stored?.s !== 2;
    if (isDerived) cluster.fail(`${id} is cancelled with a dependency at ${node.name} but has an allocation`);
  }
}
