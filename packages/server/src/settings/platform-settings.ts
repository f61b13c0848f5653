/**
 * The platform's settings file: its schema, and its mapping to the controller's settings. Only this module knows the file's
 * field names. Unknown fields are ignored, because the platform may add new ones at any time.
 */
import type { ControllerSettings, Policy, StateLimits } from '@archpost/controller';
import * as z from 'zod';
import { nonEmptyString, nonNegative, positiveNumber, socketAddress } from './field-schemas.js';

const peerSchema = z.object({ host_name: nonEmptyString, location: nonEmptyString, peer_addr: socketAddress });

const teamSchema = z.object({
  name: nonEmptyString,
  cpus: nonNegative,
  cpus_max: nonNegative,
  gpus: nonNegative,
  gpus_max: nonNegative,
});

const objectiveSchema = z.object({
  kind: nonEmptyString,
  class: z.string().nullish(),
  within_s: nonNegative.nullish(),
  after_s: nonNegative.nullish(),
  share: nonNegative.nullish(),
  most: nonNegative.nullish(),
  times: nonNegative.nullish(),
});

const workersSchema = z.object({
  report_s: positiveNumber,
  lease_s: positiveNumber,
  gang_wait_s: positiveNumber,
  gang_peer_s: positiveNumber,
  cancel_s: positiveNumber,
});

const stateLimitFields = {
  rps: positiveNumber,
  write_rps: positiveNumber,
  value_kb: positiveNumber,
  txn_ops: z.number().int().min(1),
};

/** Limits that are announced for a later time. A limit that isn't given stays unchanged. */
const announcedStateLimitsSchema = z.object(stateLimitFields).partial();

const stateSchema = z.object({ ...stateLimitFields, next: announcedStateLimitsSchema.nullish() });

/** The whole file. Errors identify fields by their paths, such as `params.workers.lease_s`. */
export const platformSchema = z.object({
  host_name: nonEmptyString,
  location: nonEmptyString,
  public_addr: socketAddress,
  peer_listen: socketAddress,
  others: z.array(peerSchema).default([]),
  external: z.object({ cloud: socketAddress, state: socketAddress }),
  params: z.object({
    initial_size: z.number().int().min(1).max(64),
    zones: z.array(nonEmptyString).min(1),
    clock_error_ms: nonNegative.default(0),
    teams: z.array(teamSchema).min(1),
    objectives: z.array(objectiveSchema).default([]),
    workers: workersSchema,
    state: stateSchema,
    cloud: z.object({ rps: positiveNumber, list_lag_s: nonNegative }),
    machine_limits: z.object({ cpu_share: positiveNumber, mem_mb: positiveNumber, max_sockets: positiveNumber }),
  }),
});

/** The platform's settings after validation, with defaults filled in. */
export type PlatformSettings = z.infer<typeof platformSchema>;

/** The limits of the state service, under the file's field names. */
export type StateLimitFields = Omit<z.infer<typeof stateSchema>, 'next'>;

/** Maps the platform's settings to the controller's settings, and adds the operators' policy. */
export function toControllerSettings(platform: PlatformSettings, policy: Policy): ControllerSettings {
  const { params } = platform;
  return {
    name: platform.host_name,
    zone: platform.location,
    controllers: toControllers(platform),
    shardCount: params.initial_size,
    zones: params.zones,
    teams: params.teams.map(toTeam),
    objectives: params.objectives.map(toObjective),
    workers: toWorkerSettings(params.workers),
    cpuShare: params.machine_limits.cpu_share,
    maxSockets: params.machine_limits.max_sockets,
    state: toStateLimits(params.state),
    cloud: { requestsPerS: params.cloud.rps, listLagS: params.cloud.list_lag_s },
    policy,
  };
}

/** Returns all controllers, including this one, sorted by name. */
function toControllers(platform: PlatformSettings): ControllerSettings['controllers'] {
  const others = platform.others.map((other) => ({ name: other.host_name, zone: other.location }));
  return [{ name: platform.host_name, zone: platform.location }, ...others].sort((a, b) => (a.name < b.name ? -1 : 1));
}

function toTeam(team: z.infer<typeof teamSchema>): ControllerSettings['teams'][number] {
  return { name: team.name, cpus: team.cpus, maxCpus: team.cpus_max, gpus: team.gpus, maxGpus: team.gpus_max };
}

function toObjective(objective: z.infer<typeof objectiveSchema>): ControllerSettings['objectives'][number] {
  return {
    kind: objective.kind,
    jobClass: objective.class ?? null,
    withinS: objective.within_s ?? null,
    afterS: objective.after_s ?? null,
    share: objective.share ?? null,
    most: objective.most ?? null,
    deadlineMultiple: objective.times ?? null,
  };
}

function toWorkerSettings(workers: z.infer<typeof workersSchema>): ControllerSettings['workers'] {
  return {
    heartbeatIntervalS: workers.report_s,
    leaseS: workers.lease_s,
    gangWaitS: workers.gang_wait_s,
    gangPeerS: workers.gang_peer_s,
    cancelS: workers.cancel_s,
  };
}

function toStateLimits(state: z.infer<typeof stateSchema>): ControllerSettings['state'] {
  return {
    requestsPerS: state.rps,
    writesPerS: state.write_rps,
    valueKib: state.value_kb,
    writesPerTransaction: state.txn_ops,
    next: state.next ? toAnnouncedStateLimits(state.next) : null,
  };
}

/** Omits limits that aren't announced rather than setting them to undefined. The announced ones replace the current limits. */
function toAnnouncedStateLimits(next: z.infer<typeof announcedStateLimitsSchema>): Partial<StateLimits> {
  const limits: Partial<StateLimits> = {};
  if (next.rps !== undefined) limits.requestsPerS = next.rps;
  if (next.write_rps !== undefined) limits.writesPerS = next.write_rps;
  if (next.value_kb !== undefined) limits.valueKib = next.value_kb;
  if (next.txn_ops !== undefined) limits.writesPerTransaction = next.txn_ops;
  return limits;
}
