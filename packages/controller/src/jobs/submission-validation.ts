/**
 * Validates submissions against the replica and the cluster state. A rejection holds only until a newer read: another
 * controller may have accepted a job that the submission depends on. Pure functions.
 */
import type { JobSpec, MachineType, Submission } from '@archpost/protocol';
import type { ClusterStateView, ReplicaView, SettingsView } from '../context/index.js';
import { countThatFit, RESOURCE_TOLERANCE, type Team } from '../model/index.js';
import { StateKey } from '../state/index.js';

/** Why a well-formed submission is rejected. */
export type SubmissionRejection =
  | { reason: 'unknownTeam'; team: string }
  | { reason: 'fitsNoMachineType' }
  | { reason: 'exceedsTeamCpus' }
  | { reason: 'exceedsTeamGpus' }
  | { reason: 'awaitsItself' }
  /** `job`: the first dependency that was never accepted */
  | { reason: 'awaitsUnknownJob'; job: string };

/** The parts of the controller's context that the validation uses. */
type ValidationContext = SettingsView & ClusterStateView & ReplicaView;

/** Returns the first reason to reject the submission, or null. */
export function findRejection(context: ValidationContext, { spec, awaits }: Submission): SubmissionRejection | null {
  return findInfeasibility(context, spec) ?? findAwaitsRejection(context, spec.id, awaits);
}

/** Returns the error text of the response to the user. */
export function rejectionText(rejection: SubmissionRejection): string {
  switch (rejection.reason) {
    case 'unknownTeam':
      return `unknown team ${rejection.team}`;
    case 'fitsNoMachineType':
      return 'a task fits no allowed machine type';
    case 'exceedsTeamCpus':
      return 'more cpus than the team may use';
    case 'exceedsTeamGpus':
      return 'more gpus than the team may use';
    case 'awaitsItself':
      return 'the job awaits itself';
    case 'awaitsUnknownJob':
      return `it awaits ${rejection.job}, which was never accepted`;
    default:
      return rejection satisfies never;
  }
}

/** Returns why the job could never run, or null. */
function findInfeasibility(context: SettingsView & ClusterStateView, spec: JobSpec): SubmissionRejection | null {
  const { clusterState, settings } = context;
  const team = settings.teams.find(({ name }) => name === spec.team);
  if (!team) return { reason: 'unknownTeam', team: spec.team };
  const types = clusterState.machineTypes.filter((type) => type !== null && type !== undefined);
  if (!types.some((type) => mayRunOn(spec, type, settings.zones))) return { reason: 'fitsNoMachineType' };
  return findLimitRejection(team, spec);
}

/** Whether the job may run on machines of this type, and a task fits on one. */
function mayRunOn(spec: JobSpec, type: MachineType, zones: readonly string[]): boolean {
  if (spec.machineTypes !== null && !spec.machineTypes.includes(type.name)) return false;
  if (countThatFit(spec, type) < 1) return false;
  if (spec.zone === null) return true;
  return zones.includes(spec.zone) && (type.zones.length === 0 || type.zones.includes(spec.zone));
}

/**
 * Checks the tasks that have to run at the same time against the team's limits, where 0 is no limit. An array's tasks may run one
 * by one.
 */
function findLimitRejection(team: Team, spec: JobSpec): SubmissionRejection | null {
  const count = spec.shape === 'array' ? 1 : spec.tasks;
  if (team.maxCpus > 0 && spec.cpus * count > team.maxCpus + RESOURCE_TOLERANCE) return { reason: 'exceedsTeamCpus' };
  if (team.maxGpus > 0 && spec.gpus * count > team.maxGpus + RESOURCE_TOLERANCE) return { reason: 'exceedsTeamGpus' };
  return null;
}

function findAwaitsRejection(context: ClusterStateView & ReplicaView, id: string, awaits: string[]): SubmissionRejection | null {
  if (awaits.includes(id)) return { reason: 'awaitsItself' };
  const unknown = awaits.find((job) => !wasAccepted(context, job));
  return unknown === undefined ? null : { reason: 'awaitsUnknownJob', job: unknown };
}

function wasAccepted({ clusterState, replica }: ClusterStateView & ReplicaView, job: string): boolean {
  return clusterState.finishedJobs.has(job) || replica.get(StateKey.job(job)) !== null;
}
