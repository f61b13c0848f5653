/** Summary of a shard that its lease holder sends to the leader: its machines, and the tasks that don't fit on them. */
import type { ProtobufFields } from './protobuf-fields.js';

/** A machine of a shard. */
export interface MachineSummary {
  name: string;
  freeCpus: number;
  freeGpus: number;
  /** in GB */
  freeMemory: number;
  /** tasks on it, or allocated to it */
  tasks: number;
  /** highest priority of tasks on it that may not be stopped for others; -1: there are none */
  protectedPriority: number;
  /** seconds since its last task ended */
  idleS: number;
  /** tasks of services on it, which would be stopped if it were moved to another shard */
  services: number;
}

/** Protobuf fields of a MachineSummary. */
export const machineSummaryFields = {
  name: { type: 'string', id: 1 },
  freeCpus: { type: 'double', id: 2 },
  freeGpus: { type: 'double', id: 3 },
  freeMemory: { type: 'double', id: 4 },
  tasks: { type: 'uint32', id: 5 },
  protectedPriority: { type: 'sint32', id: 6 },
  idleS: { type: 'double', id: 7 },
  services: { type: 'uint32', id: 8 },
} satisfies ProtobufFields<MachineSummary>;

/** Pending tasks of one kind, which wait for free resources. */
export interface ResourceDemand {
  /** what each task takes of its machine */
  cpus: number;
  gpus: number;
  /** in GB */
  memory: number;
  /** allowed machine types; empty: any */
  types: string[];
  /** the only allowed zone; empty: any */
  zone: string;
  /** spot machines are allowed */
  spot: boolean;
  priority: number;
  /** the team's quota covers it */
  withinQuota: boolean;
  /** number of tasks */
  count: number;
  /** they have to run at the same time */
  gang: boolean;
  /** seconds for which it has waited */
  waitS: number;
  /** seconds until it should start by the objectives of its class; negative: it is late */
  slackS: number;
  /** zones that are ruled out by where other tasks of the job are */
  excludedZones: string[];
}

/** Protobuf fields of a ResourceDemand. */
export const resourceDemandFields = {
  cpus: { type: 'double', id: 1 },
  gpus: { type: 'double', id: 2 },
  memory: { type: 'double', id: 3 },
  types: { rule: 'repeated', type: 'string', id: 4 },
  zone: { type: 'string', id: 5 },
  spot: { type: 'bool', id: 6 },
  priority: { type: 'sint32', id: 7 },
  withinQuota: { type: 'bool', id: 8 },
  count: { type: 'uint32', id: 9 },
  gang: { type: 'bool', id: 10 },
  waitS: { type: 'double', id: 11 },
  slackS: { type: 'double', id: 12 },
  excludedZones: { rule: 'repeated', type: 'string', id: 13 },
} satisfies ProtobufFields<ResourceDemand>;

/** A shard: a part of the teams, and the machines that are assigned to it. */
export interface ShardSummary {
  shard: number;
  machines: MachineSummary[];
  demands: ResourceDemand[];
}

/** Protobuf fields of a ShardSummary. */
export const shardSummaryFields = {
  shard: { type: 'uint32', id: 1 },
  machines: { rule: 'repeated', type: 'MachineSummary', id: 2 },
  demands: { rule: 'repeated', type: 'ResourceDemand', id: 3 },
} satisfies ProtobufFields<ShardSummary>;
