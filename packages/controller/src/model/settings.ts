/** What a controller is started with, as far as decisions depend on it. Read-only after the start. */

/** A team and its quota. */
export interface Team {
  name: string;
  /** guaranteed processor cores */
  cpus: number;
  /** processor cores that its tasks may use at most */
  maxCpus: number;
  /** guaranteed accelerators */
  gpus: number;
  /** accelerators that its tasks may use at most */
  maxGpus: number;
}

/** A service-level objective. Which fields it has depends on its kind. */
export interface Objective {
  /** `wait` (until the start), `finished`, `deadline`, or another that no decision depends on */
  kind: string;
  /** the class of jobs that it is about */
  jobClass: string | null;
  withinS: number | null;
  afterS: number | null;
  /** fraction of the jobs for which it should hold */
  share: number | null;
  most: number | null;
  /** how many times the time to its deadline a job may take */
  deadlineMultiple?: number | null;
}

/** What operators may tune. */
export interface Policy {
  /** a reservation for a gang that isn't complete after this long is released */
  planWaitS: number;
  /** a machine that no controller has heard for this long is released to the cloud */
  silentS: number;
  /** hold spare machines of every kind, whatever they cost */
  holdSpareCapacity: boolean;
  /** an idle machine is released after this long, unless capacity is held */
  idleS: number;
  /** most machines held at once; null: as many as there are */
  maxMachines: number | null;
}

/** What the state service takes. */
export interface StateLimits {
  requestsPerS: number;
  writesPerS: number;
  /** size of a value */
  valueKib: number;
  writesPerTransaction: number;
}

/** All that decisions depend on. */
export interface ControllerSettings {
  /** this controller's name */
  name: string;
  /** this controller's zone */
  zone: string;
  /** every controller's name, sorted, with its zone */
  controllers: { name: string; zone: string }[];
  shardCount: number;
  zones: string[];
  teams: Team[];
  objectives: Objective[];
  workers: WorkerSettings;
  /** what of a processor core this controller has */
  cpuShare: number;
  /** connections that it may have open */
  maxSockets: number;
  state: StateLimits & {
    /** limits that the state service will have at some later time, as far as they are announced */
    next: Partial<StateLimits> | null;
  };
  cloud: CloudSettings;
  policy: Policy;
}

/** How the machines' agents behave. */
export interface WorkerSettings {
  heartbeatIntervalS: number;
  /** an agent whose heartbeats weren't answered for this long kills its tasks */
  leaseS: number;
  /** a gang's task that waited this long for the others exits */
  gangWaitS: number;
  /** the tasks of a gang notice within this time that one of them is gone */
  gangPeerS: number;
  /** a cancelled job's tasks must be gone this long after the response to the client */
  cancelS: number;
}

/** What the cloud's interface takes, and how fresh its answers are. */
export interface CloudSettings {
  requestsPerS: number;
  /** how far its list of machines lags behind; at times twice as far */
  listLagS: number;
}
