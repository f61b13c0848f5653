/** What a controller is started with, as far as decisions depend on it. */

export interface Team {
  name: string;
  cpus: number;
  maxCpus: number;
  gpus: number;
  maxGpus: number;
}

export interface Objective {
  kind: string;
  jobClass: string | null;
  withinS: number | null;
  afterS: number | null;
  share: number | null;
  most: number | null;
  /** how many times its deadline's time a job may take */
  deadlineMultiple?: number | null;
}

export interface Policy {
  /** a held plan that isn't complete after this long is released */
  planWaitS: number;
  /** a machine that answers nobody for this long is given back */
  silentS: number;
  /** hold spare machines of every kind, whatever they cost */
  holdSpareCapacity: boolean;
  /** an idle machine is given back after this long, unless capacity is held */
  idleS: number;
  /** most machines held at once; null: as many as there are */
  maxMachines: number | null;
}

/** What the state service takes: requests and changes a second, size of a value, changes in a transaction. */
export interface StateLimits {
  requestsPerS: number;
  writesPerS: number;
  valueKib: number;
  writesPerTransaction: number;
}

export interface ControllerSettings {
  name: string;
  zone: string;
  /** every controller's name, sorted, with its zone */
  controllers: { name: string; zone: string }[];
  shardCount: number;
  zones: string[];
  teams: Team[];
  objectives: Objective[];
  workers: { heartbeatIntervalS: number; leaseS: number; gangWaitS: number; gangPeerS: number; cancelS: number };
  /** what of a processor core this controller has */
  cpuShare: number;
  /** connections that it may have open */
  maxSockets: number;
  state: StateLimits & {
    /** limits that the state service will have at some later time, as far as they are announced */
    next: Partial<StateLimits> | null;
  };
  cloud: { requestsPerS: number; listLagS: number };
  policy: Policy;
}
