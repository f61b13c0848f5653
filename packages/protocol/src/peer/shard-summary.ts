/** Summary of a shard that its lease holder sends to the leader: the shard's machines, and the tasks that don't fit on them. */
import type { ProtobufFields } from './protobuf-fields.js';

/** The free resources and the load of a machine of a shard. */
export interface MachineSummary {
  name: string;
  freeCpus: number;
  freeGpus: number;
  /** in GB */
  freeMemory: number;
  /** number of tasks on the machine or allocated to it */
  tasks: number;
  /** priority that a task must exceed to preempt all tasks on the machine; -1: no task is protected */
  protectedPriority: number;
  /** seconds since the last task on the machine ended; 0 while the machine has tasks */
  idleS: number;
  /** number of service tasks on the machine, which would be stopped if it moved to another shard */
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

/** Pending tasks with equal requirements that wait for free resources. */
export interface ResourceDemand {
  /** resources that each task requires: CPUs, GPUs and memory */
  cpus: number;
  gpus: number;
  /** in GB */
  memory: number;
  /** allowed machine types; empty: any */
  types: string[];
  /** the only allowed zone; empty: any */
  zone: string;
  /** whether the tasks may run on spot machines */
  spot: boolean;
  priority: number;
  /** whether the team's quota covers the tasks */
  withinQuota: boolean;
  /** number of tasks */
  count: number;
  /** whether the tasks have to run at the same time */
  gang: boolean;
  /** seconds for which the tasks have waited */
  waitS: number;
  /** seconds until the tasks should start by the objectives of their job class; negative: overdue */
  slackS: number;
  /** zones that are excluded by the placement of the job's other tasks */
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

/** The machines and unmet demands of a shard, which is a subset of the teams with the machines assigned to it. */
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
