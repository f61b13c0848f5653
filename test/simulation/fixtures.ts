/** What simulations and most tests start from: machine types, settings of a controller, a job. */
import type { ControllerSettings } from '@archpost/controller';
import type { JobSpec, MachineType, PeerStatus } from '@archpost/protocol';

/** The machine types of the cloud. */
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

/** Settings of one of these controllers. */
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

/** The specification of a small batch job, apart from what is given. */
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

/** The job as its user would submit it. */
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

/** The status of a controller that is well and has nothing to tell. */
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
