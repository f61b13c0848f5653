/** What one share's owner tells of a machine. */
export interface MachineSummary {
  name: string;
  freeCpus: number;
  freeGpus: number;
  freeMemory: number;
  /** tasks on it, or meant for it */
  tasks: number;
  /** highest rank of work that may not be stopped for others; -1: none */
  protectedPriority: number;
  /** seconds since its last task ended */
  idleS: number;
  /** services on it, which a move would have to stop */
  services: number;
}

export const machineSummaryFields = {
  name: { type: 'string', id: 1 },
  freeCpus: { type: 'double', id: 2 },
  freeGpus: { type: 'double', id: 3 },
  freeMemory: { type: 'double', id: 4 },
  tasks: { type: 'uint32', id: 5 },
  protectedPriority: { type: 'sint32', id: 6 },
  idleS: { type: 'double', id: 7 },
  services: { type: 'uint32', id: 8 },
};

/** Work of a share that has no room. */
export interface ResourceDemand {
  cpus: number;
  gpus: number;
  memory: number;
  types: string[];
  zone: string;
  spot: boolean;
  priority: number;
  /** within the team's guarantee */
  withinQuota: boolean;
  count: number;
  gang: boolean;
  waitS: number;
  /** seconds until it should start, by its objectives */
  slackS: number;
  /** zones that its other tasks bar */
  excludedZones: string[];
}

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
};

export interface ShardSummary {
  shard: number;
  machines: MachineSummary[];
  demands: ResourceDemand[];
}

export const shardSummaryFields = {
  shard: { type: 'uint32', id: 1 },
  machines: { rule: 'repeated', type: 'MachineSummary', id: 2 },
  demands: { rule: 'repeated', type: 'ResourceDemand', id: 3 },
};
