/**
 * The line that a log at level debug shows of each shard held here, every few seconds: what somebody who reads the log wants to
 * know first. Owns no state.
 */
import type { MachineSummary } from '@archpost/protocol';
import type { TaskAllocations } from '../allocation/index.js';
import type { ClusterStateView } from '../context/index.js';
import type { AllocationPhase, Machine, Milliseconds } from '../model/index.js';

/** The phases of allocations as the log line has them; the words are part of the log's format. */
const LOGGED_PHASES: Record<AllocationPhase, string> = { planned: 'planned', sent: 'sent', reported: 'there', exited: 'exited' };

/** The fields of the log line; their names are part of the log's format. */
export interface ShardDebugSummary {
  shard: number;
  /** by machine type (`*`: spot): how many machines there are, how many are idle and how many can't be scheduled on */
  machines: Record<string, string>;
  /** by machine with accelerators: how many tasks of which class of jobs are in which phase there */
  accelerated: Record<string, string>;
  /** tasks that found no machine, with how long their job has waited */
  waiting: string[];
}

/** Machines of one type, all spot or all on demand. */
interface MachineCounts {
  total: number;
  idle: number;
  unschedulable: number;
}

/** What it is made of. */
export interface ShardDebugSources {
  clusterState: ClusterStateView['clusterState'];
  allocations: TaskAllocations;
}

/** `machineSummaries`: those of the summary that other controllers are sent. */
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

/** A mark behind the name of what may be preempted by the cloud. */
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
    .map(({ job, count }) => `${job.spec.jobClass} ${count} for ${Math.round((now - job.arrivedAt) / 1000)} s`);
}
