/**
 * Whether a submission can be accepted, by what is known here. A rejection holds only as long as nothing newer is read: another
 * controller may have accepted a job that is awaited. Pure functions of the replica and the cluster state.
 */
import type { JobSpec, MachineType, Submission } from '@archpost/protocol';
import type { ClusterStateView, ReplicaView, SettingsView } from '../context/index.js';
import { countThatFit, RESOURCE_TOLERANCE, type Team } from '../model/index.js';
import { StateKey } from '../state/index.js';

/** Why a submission that can be read is rejected. */
export type SubmissionRejection =
  | { reason: 'unknownTeam'; team: string }
  | { reason: 'fitsNoMachineType' }
  | { reason: 'exceedsTeamCpus' }
  | { reason: 'exceedsTeamGpus' }
  | { reason: 'awaitsItself' }
  /** `job`: the first awaited job that was never accepted */
  | { reason: 'awaitsUnknownJob'; job: string };

/** What the validation needs of the controller. */
type ValidationContext = SettingsView & ClusterStateView & ReplicaView;

/** The first reason to reject the submission, or null. */
export function findRejection(context: ValidationContext, { spec, awaits }: Submission): SubmissionRejection | null {
  return findInfeasibility(context, spec) ?? findAwaitsRejection(context, spec.id, awaits);
}

/** The text of the response to the client. */
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

/** Why the job could never run, or null. */
function findInfeasibility(context: SettingsView & ClusterStateView, spec: JobSpec): SubmissionRejection | null {
  const { clusterState, settings } = context;
  const team = settings.teams.find(({ name }) => name === spec.team);
  if (!team) return { reason: 'unknownTeam', team: spec.team };
  const types = clusterState.machineTypes.filter((type) => type !== null && type !== undefined);
  if (!types.some((type) => mayRunOn(spec, type, settings.zones))) return { reason: 'fitsNoMachineType' };
  return findLimitRejection(team, spec);
}

/** Does a task fit a machine of this type, where the job may run? */
function mayRunOn(spec: JobSpec, type: MachineType, zones: readonly string[]): boolean {
  if (spec.machineTypes !== null && !spec.machineTypes.includes(type.name)) return false;
  if (countThatFit(spec, type) < 1) return false;
  if (spec.zone === null) return true;
  return zones.includes(spec.zone) && (type.zones.length === 0 || type.zones.includes(spec.zone));
}

/** Tasks that run at once may not exceed the team's limits; 0 is no limit. Those of an array may run one after another. */
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
