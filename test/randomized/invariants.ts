/** What must hold inside a controller at every step, beside the rules that are judged from outside. */
import type { ControllerVersion, SimulatedCluster, SimulatedController } from '../simulation/index.js';

/**
 * Cancellation through a chain is derived, not stored, which is safe only if it never meets a job that has a task
 * (docs/design.md, "Pipelines"); nor may a job that waits have one.
 */
export function checkDerivedState(cluster: SimulatedCluster, old: ControllerVersion | undefined): void {
  for (const node of cluster.controllers) if (node.up && node.runningVersion !== old) checkJobs(cluster, node);
}

function checkJobs(cluster: SimulatedCluster, node: SimulatedController): void {
  const { clusterState, replica } = node.controller;
  for (const job of clusterState.jobs.values()) {
    if (job.tenure.allocations.size === 0) continue;
    const { id } = job.spec;
    if (job.isBlocked) cluster.fail(`${id} waits at ${node.name} and has a place`);
    const stored = replica.get(`a/j/${id}`)?.value as { s: number } | undefined;
    const isDerived = job.state === 'cancelled' && stored?.s !== 2;
    if (isDerived) cluster.fail(`${id} is cancelled with another job at ${node.name} and has a place`);
  }
}
