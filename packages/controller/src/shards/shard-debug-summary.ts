/** The debug log line about a held shard, which is logged every few seconds for operators. Owns no state. */
import type { MachineSummary } from '@archpost/protocol';
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView } from '../context/index.js';
import type { AllocationPhase, Machine, Milliseconds } from '../model/index.js';

/** Names of allocation phases in the log line; they are part of the log format. */
const LOGGED_PHASES: Record<AllocationPhase, string> = { planned: 'planned', sent: 'sent', reported: 'there', exited: 'exited' };

/** The fields of the log line; their names are part of the log format. */
export interface ShardDebugSummary {
  shard: number;
  /** by machine type (with `*` if spot): number of machines, and how many of them are idle or not schedulable */
  machines: Record<string, string>;
  /** by machine with accelerators (with `*` if spot): number of its tasks by job class and phase */
  accelerated: Record<string, string>;
  /** tasks for which no machine was found, with the waiting time of their job */
  waiting: string[];
}

/** Counts of the machines of one type that are all spot or all on-demand. */
interface MachineCounts {
  total: number;
  idle: number;
  unschedulable: number;
}

/** The sources of a debug summary. */
export interface ShardDebugSources {
  clusterState: ClusterStateView['clusterState'];
  allocations: TaskAllocations;
}

/** Creates the debug summary. `machineSummaries`: those of the shard's summary for other controllers. */
export function shardDebugSummary(
  sources: ShardDebugSources,
  shard: number,
  machineSummaries: readonly MachineSummary[],
  now: Milliseconds,
): ShardDebugSummary {
  return {
    shard,
    machines: machinesByType(sources, machineSummaries, now),
    accelerated: acceleratedMachines(sources, shard),
    waiting: waitingTasks(sources, shard, now),
  };
}

/** Returns the suffix that marks spot machines, or the empty string. */
function spotMark(machine: Machine | undefined): string {
  return machine?.spot ? '*' : '';
}

function machinesByType(
  { clusterState, allocations }: ShardDebugSources,
  machineSummaries: readonly MachineSummary[],
  now: Milliseconds,
): Record<string, string> {
  const countsByType = new Map<string, MachineCounts>();
  for (const { name, tasks } of machineSummaries) {
    const machine = clusterState.machines.get(name);
    const type = `${machine?.capacity?.name ?? '?'}${spotMark(machine)}`;
    const counts = countsByType.get(type) ?? { total: 0, idle: 0, unschedulable: 0 };
    counts.total++;
    if (tasks === 0) counts.idle++;
    if (machine && !allocations.isSchedulable(machine, now)) counts.unschedulable++;
    countsByType.set(type, counts);
  }
  const described: Record<string, string> = {};
  for (const [type, { total, idle, unschedulable }] of countsByType)
    described[type] = `${total} (${idle} idle, ${unschedulable} not usable)`;
  return described;
}

function acceleratedMachines({ clusterState }: ShardDebugSources, shard: number): Record<string, string> {
  const described: Record<string, string> = {};
  for (const machine of clusterState.machines.values()) {
    if (machine.shard !== shard || !machine.capacity || machine.capacity.gpus === 0) continue;
    described[`${machine.name}${spotMark(machine)}`] = describeTasks(machine);
  }
  return described;
}

function describeTasks(machine: Machine): string {
  const countsByLabel = new Map<string, number>();
  for (const { job, phase } of machine.tenure.allocations.values()) {
    const label = `${job.spec.jobClass} ${LOGGED_PHASES[phase]}`;
    countsByLabel.set(label, (countsByLabel.get(label) ?? 0) + 1);
  }
  return [...countsByLabel].map(([label, count]) => `${count} ${label}`).join(', ');
}

function waitingTasks({ allocations }: ShardDebugSources, shard: number, now: Milliseconds): string[] {
  return allocations.unmetDemand
    .filter((unmet) => unmet.job.shard === shard)
    .map(({ job, count }) => `${job.spec.jobClass} ${count} for ${Math.round((now - job.eligibleAt) / 1000)} s`);
}
