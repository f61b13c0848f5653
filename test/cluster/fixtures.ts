// What the stand-ins and most tests start from: machine types, settings of a controller, a job.
import type { CoreSettings } from '@archpost/controller';
import type { JobSpec, MachineType, PeerStatus } from '@archpost/protocol';

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

export function settings(node: string, nodes = ['n0', 'n1', 'n2']): CoreSettings {
  const zone = (n: string) => (n === 'n1' ? 'west' : 'east');
  return {
    node,
    zone: zone(node),
    nodes: nodes.map((name) => ({ name, zone: zone(name) })),
    shares: nodes.length,
    zones: ['east', 'west'],
    teams: [
      { name: 'red', cpus: 0, cpusMax: 0, gpus: 8, gpusMax: 16 },
      { name: 'blue', cpus: 0, cpusMax: 0, gpus: 8, gpusMax: 16 },
      { name: 'green', cpus: 0, cpusMax: 0, gpus: 8, gpusMax: 8 },
    ],
    objectives: [{ kind: 'wait', cls: 'serve', withinS: 5, afterS: null, share: 0.95, most: null }],
    workers: { reportS: 2, leaseS: 12, gangWaitS: 40, gangPeerS: 4, cancelS: 36 },
    cpuShare: 0.2,
    sockets: 1000,
    state: { rps: 100, writeRps: 60, valueKb: 8, txnOps: 12, next: null },
    cloud: { rps: 6, listLagS: 5 },
    policy: { planWaitS: 10, silentS: 7, hold: true, idleS: 20, maxMachines: 0 },
  };
}

export function job(id: string, over: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    cls: 'batch',
    team: 'red',
    shape: 'array',
    rank: 1,
    tasks: 1,
    cpus: 2,
    gpus: 0,
    memory: 4,
    image: 'img',
    imageGb: 1,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    estimateS: 10,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
    ...over,
  };
}

const SHAPES = { array: 'sweep', gang: 'gang', service: 'standing' } as const;
const RANKS = ['best_effort', 'standard', 'urgent', 'critical'];

/** The job as its user would submit it. */
export function submission(s: JobSpec): Record<string, unknown> {
  return {
    ref: s.id,
    jobclass: s.cls,
    crew: s.team,
    shape: SHAPES[s.shape],
    rank: RANKS[s.rank],
    pieces: s.tasks,
    cores: s.cpus,
    accelerators: s.gpus,
    memory_gb: s.memory,
    bundle: s.image,
    size_gb: s.imageGb,
    builds: s.types,
    yard: s.zone,
    one_zone: s.oneZone,
    spread: s.spread,
    loaners: s.spot,
    guess_s: s.estimateS,
    snapshot_s: s.checkpointS,
    stow_s: s.saveS,
    due_s: s.deadlineS,
  };
}

/** The status of a controller that is well and has nothing to tell. */
export const STATUS: PeerStatus = {
  node: 'n0',
  shares: [],
  running: [],
  runningAll: false,
  strangers: [],
  heard: [],
  plenty: [],
  lead: false,
  entitled: true,
  reach: true,
  writes: 1,
  storeOk: true,
  hears: 3,
  loaded: true,
  cancelStamp: 0,
  ping: '',
  echo: '',
};
