/**
 * Quota accounting of one scheduling run: what each team uses, and how much more its limits allow. A new `TeamUsage` is
 * measured for each run, and the run adds whatever it places or reserves.
 */
import type { HeldShards } from '../allocation/index.js';
import type { ClusterStateView, SettingsView } from '../context/index.js';
import { type Job, type Machine, RESOURCE_TOLERANCE, type Team } from '../model/index.js';

/** Processor cores and accelerators that a team uses. */
interface Usage {
  cpus: number;
  gpus: number;
}

/** Resource usage of each team. Teams are identified by their index in the settings. */
export class TeamUsage {
  private readonly usageByTeam: Usage[];

  constructor(private readonly teams: readonly Team[]) {
    this.usageByTeam = teams.map(() => ({ cpus: 0, gpus: 0 }));
  }

  /** Returns how many of the job's tasks its team's limits still allow; 0 if the team is unknown. */
  remainingTasks(job: Job): number {
    const team = this.teams[job.teamIndex];
    const usage = this.usageByTeam[job.teamIndex];
    if (!team || !usage) return 0;
    const { cpus, gpus, tasks } = job.spec;
    let count = tasks;
    if (team.maxCpus > 0 && cpus > 0)
      count = Math.min(count, Math.floor((team.maxCpus - usage.cpus + RESOURCE_TOLERANCE) / cpus));
    if (team.maxGpus > 0 && gpus > 0)
      count = Math.min(count, Math.floor((team.maxGpus - usage.gpus + RESOURCE_TOLERANCE) / gpus));
    return Math.max(0, count);
  }

  /** Adds one task of the job. */
  add(job: Job): void {
    this.addResources(job.teamIndex, job.spec);
  }

  /** Adds the whole capacity of a machine on which the team may have any amount of work. */
  addMachine(teamIndex: number, machine: Machine): void {
    if (machine.capacity) this.addResources(teamIndex, machine.capacity);
  }

  private addResources(teamIndex: number, resources: Usage): void {
    const usage = this.usageByTeam[teamIndex];
    if (!usage) return;
    usage.cpus += resources.cpus;
    usage.gpus += resources.gpus;
  }
}

/** Measures the usage by work that is, or may be, on machines of the shards held by this controller. */
export function measureTeamUsage(context: SettingsView & ClusterStateView, heldShards: HeldShards): TeamUsage {
  const usage = new TeamUsage(context.settings.teams);
  addAllocations(usage, context, heldShards);
  addUnverifiedMachines(usage, context, heldShards);
  return usage;
}

function addAllocations(usage: TeamUsage, { clusterState }: ClusterStateView, heldShards: HeldShards): void {
  for (const job of clusterState.jobs.values()) {
    if (!heldShards.has(job.shard)) continue;
    for (const allocation of job.tenure.allocations.values()) if (allocation.phase !== 'exited') usage.add(job);
  }
}

/**
 * Counts the whole capacity of each machine that has not responded since its shard was taken over, for every team of the shard:
 * any of these teams may have work on the machine.
 */
function addUnverifiedMachines(
  usage: TeamUsage,
  { settings, clusterState }: SettingsView & ClusterStateView,
  heldShards: HeldShards,
): void {
  for (const machine of clusterState.machines.values()) {
    if (!machine.tenure.isUnverifiedTakeover || !heldShards.has(machine.shard)) continue;
    for (let teamIndex = 0; teamIndex < settings.teams.length; teamIndex++)
      if (clusterState.shardOfTeam[teamIndex] === machine.shard) usage.addMachine(teamIndex, machine);
  }
}
