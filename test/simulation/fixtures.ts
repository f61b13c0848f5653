/** Default machine types, controller settings, job and peer status of simulations and tests. */
import type { ControllerSettings } from '@archpost/controller';
import type { JobSpec, MachineType, PeerStatus } from '@archpost/protocol';

/** Machine types of the simulated cloud. */
export const TYPES: MachineType[] = [
  {
    name: 'small',
    cpus: 4,
    gpus: 0,
    memory: 16,
    cacheGb: 20,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.3,
    bootS: 5,
    zones: ['east', 'west'],
  },
  {
    name: 'big',
    cpus: 48,
    gpus: 8,
    memory: 384,
    cacheGb: 100,
    fetchGbPerS: 1,
    price: 20,
    spotPrice: 6,
    bootS: 5,
    zones: ['east', 'west'],
  },
];

/** Returns the settings of one of the controllers `nodes`. */
export function settings(controller: string, nodes = ['n0', 'n1', 'n2']): ControllerSettings {
  const zone = (name: string) => (name === 'n1' ? 'west' : 'east');
  return {
    name: controller,
    zone: zone(controller),
    controllers: nodes.map((name) => ({ name, zone: zone(name) })),
    shardCount: nodes.length,
    zones: ['east', 'west'],
    teams: [
      { name: 'red', cpus: 0, maxCpus: 0, gpus: 8, maxGpus: 16 },
      { name: 'blue', cpus: 0, maxCpus: 0, gpus: 8, maxGpus: 16 },
      { name: 'green', cpus: 0, maxCpus: 0, gpus: 8, maxGpus: 8 },
    ],
    objectives: [{ kind: 'wait', jobClass: 'serve', withinS: 5, afterS: null, share: 0.95, most: null }],
    workers: { heartbeatIntervalS: 2, leaseS: 12, gangWaitS: 40, gangPeerS: 4, cancelS: 36 },
    cpuShare: 0.2,
    maxSockets: 1000,
    state: { requestsPerS: 100, writesPerS: 60, valueKib: 8, writesPerTransaction: 12, next: null },
    cloud: { requestsPerS: 6, listLagS: 5 },
    policy: { planWaitS: 10, silentS: 7, holdSpareCapacity: true, idleS: 20, maxMachines: 0 },
  };
}

/** Returns the specification of a small batch job with the given fields replaced. */
export function job(id: string, over: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    jobClass: 'batch',
    team: 'red',
    shape: 'array',
    priority: 1,
    tasks: 1,
    cpus: 2,
    gpus: 0,
    memory: 4,
    image: 'img',
    imageSizeGb: 1,
    machineTypes: null,
    zone: null,
    oneZone: false,
    spread: false,
    allowsSpot: false,
    estimatedRunS: 10,
    checkpointIntervalS: 0,
    checkpointSaveS: 0,
    deadlineS: null,
    ...over,
  };
}

const SHAPES = { array: 'sweep', gang: 'gang', service: 'standing' } as const;
const PRIORITIES = ['best_effort', 'standard', 'urgent', 'critical'];

/** Returns the body of the request that submits the job. */
export function submission(spec: JobSpec): Record<string, unknown> {
  return {
    ref: spec.id,
    jobclass: spec.jobClass,
    crew: spec.team,
    shape: SHAPES[spec.shape],
    rank: PRIORITIES[spec.priority],
    pieces: spec.tasks,
    cores: spec.cpus,
    accelerators: spec.gpus,
    memory_gb: spec.memory,
    bundle: spec.image,
    size_gb: spec.imageSizeGb,
    builds: spec.machineTypes,
    yard: spec.zone,
    one_zone: spec.oneZone,
    spread: spec.spread,
    loaners: spec.allowsSpot,
    guess_s: spec.estimatedRunS,
    snapshot_s: spec.checkpointIntervalS,
    stow_s: spec.checkpointSaveS,
    due_s: spec.deadlineS,
  };
}

/** The peer status of a healthy controller without machines or jobs to report. */
export const STATUS: PeerStatus = {
  node: 'n0',
  shards: [],
  runningJobs: [],
  runningJobsComplete: false,
  unassignedMachines: [],
  unchangedHeartbeats: [],
  availableTypes: [],
  isLeader: false,
  mayAnswerWorkers: true,
  reachesWorkers: true,
  wantedWritesPerS: 1,
  stateServiceAnswers: true,
  heardWorkers: 3,
  replicaLoaded: true,
  cancellationRevision: 0,
  ping: '',
  echo: '',
};
