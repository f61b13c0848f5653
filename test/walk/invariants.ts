// What must hold inside a controller at every step, beside the rules that are judged from outside.
import type { Cluster, Node, Version } from '../stand-ins.js';

/**
 * Cancellation through a chain is derived, not stored, which is safe only if it never meets a job that has a task
 * (docs/design.md, "Pipelines"); nor may a job that waits have one.
 */
export function checkDerived(cluster: Cluster, old: Version | undefined): void {
  for (const node of cluster.nodes) if (node.up && node.running !== old) checkJobs(cluster, node);
}

function checkJobs(cluster: Cluster, node: Node): void {
  const { clusterState, replica } = node.core;
  for (const job of clusterState.jobs.values()) {
    if (job.tenure.allocations.size === 0) continue;
    const { id } = job.spec;
    if (job.isBlocked) cluster.broken(`${id} waits at ${node.name} and has a place`);
    const stored = replica.get(`a/j/${id}`)?.value as { s: number } | undefined;
    const isDerived = job.state === 'cancelled' && stored?.s !== 2;
    if (isDerived) cluster.broken(`${id} is cancelled with another job at ${node.name} and has a place`);
  }
}
