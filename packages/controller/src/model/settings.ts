/** The settings that a controller's decisions depend on. Read-only after the start. */

/** A team and its quota. */
export interface Team {
  name: string;
  /** guaranteed processor cores */
  cpus: number;
  /** limit of processor cores in use by its tasks */
  maxCpus: number;
  /** guaranteed accelerators */
  gpus: number;
  /** limit of accelerators in use by its tasks */
  maxGpus: number;
}

/** A service-level objective. Its kind determines which fields are set. */
export interface Objective {
  /** `wait` (time until the start), `finished`, `deadline`, or another kind that no decision depends on */
  kind: string;
  /** the class of jobs that the objective applies to */
  jobClass: string | null;
  withinS: number | null;
  afterS: number | null;
  /** fraction of the jobs that should meet the objective */
  share: number | null;
  most: number | null;
  /** a job may take up to this multiple of the time from its submission to its deadline */
  deadlineMultiple?: number | null;
}

/** Operator-configurable scheduling and scaling policy. */
export interface Policy {
  /** a gang reservation that isn't complete after this time is released */
  planWaitS: number;
  /** a machine is released to the cloud after this time without a heartbeat at any controller */
  silentS: number;
  /** hold spare machines of every kind, regardless of their price */
  holdSpareCapacity: boolean;
  /** an idle machine is released after this time, unless spare capacity is held */
  idleS: number;
  /** limit of machines held at the same time; null: no limit */
  maxMachines: number | null;
}

/** The limits of the state service. */
export interface StateLimits {
  requestsPerS: number;
  writesPerS: number;
  /** largest size of a value */
  valueKib: number;
  writesPerTransaction: number;
}

/** All settings that decisions depend on. */
export interface ControllerSettings {
  /** this controller's name */
  name: string;
  /** this controller's zone */
  zone: string;
  /** name and zone of every controller, sorted by name */
  controllers: { name: string; zone: string }[];
  shardCount: number;
  zones: string[];
  teams: Team[];
  objectives: Objective[];
  workers: WorkerSettings;
  /** processor cores that are available to this controller; may be fractional */
  cpuShare: number;
  /** limit of open connections of this controller */
  maxSockets: number;
  state: StateLimits & {
    /** announced future limits of the state service; null: none were announced */
    next: Partial<StateLimits> | null;
  };
  cloud: CloudSettings;
  policy: Policy;
}

/** Timing of the machines' agents and of the tasks that they run. */
export interface WorkerSettings {
  heartbeatIntervalS: number;
  /** an agent kills its tasks when its heartbeats weren't answered for this time */
  leaseS: number;
  /** a gang's task exits after waiting this long for the other tasks of the gang */
  gangWaitS: number;
  /** the tasks of a gang detect within this time that one of them is gone */
  gangPeerS: number;
  /** the tasks of a cancelled job must have ended this long after the response to the client */
  cancelS: number;
}

/** The rate limit of the cloud's API, and the staleness of its responses. */
export interface CloudSettings {
  requestsPerS: number;
  /** usual lag of the cloud's list of machines; some lists lag by twice as much */
  listLagS: number;
}
