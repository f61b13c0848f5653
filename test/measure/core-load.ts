// Measures the processor time of each input of the controller core at the load of a small site:
// `node tools/measure.mjs core-load [SECONDS]`. Three controllers in the simulation, 460 machines, services, gangs, and more
// arrays than fit. Processor time is that of the local machine; `NODE_OPTIONS=--cpu-prof` profiles the functions.
import type { ControllerSettings } from '@archpost/controller';
import { decodePeerMessage, encodePeerMessage } from '../../packages/protocol/src/index.js';
import { job, SimulatedCluster } from '../simulation/index.js';
import { type InputName, meteredCore } from './metered-core.js';

const TEAMS = ['kiosk', 'maps', 'vision', 'desk'];
const CONTROLLER_NAMES = ['n0', 'n1', 'n2'];
const SMALL_MACHINES = 430;
const BIG_MACHINES = 30;
const SERVICES = 80;
const REPLICAS_PER_SERVICE = 5;
const INITIAL_ARRAYS = 20;
const ARRAY_INTERVAL_S = 3;
const ARRAY_TASKS = 60;
const ARRAY_TASK_S = 25;
const GANG_INTERVAL_S = 15;
const SETTLE_S = 30;

const seconds = Number(process.argv[2] ?? 60);

function tune(settings: ControllerSettings): ControllerSettings {
  const teams = TEAMS.map((name) => ({ name, cpus: 0, maxCpus: 0, gpus: 60, maxGpus: 200 }));
  return {
    ...settings,
    teams,
    cpuShare: 0.068,
    maxSockets: 1200,
    state: { ...settings.state, requestsPerS: 100, writesPerS: 20, writesPerTransaction: 12 },
  };
}

interface Sum {
  count: number;
  ms: number;
}

const sums = new Map<string, Sum>();
const meter = (controller: string, input: InputName, ms: number) => {
  const name = `${controller} ${input}`;
  const sum = sums.get(name) ?? { count: 0, ms: 0 };
  sums.set(name, { count: sum.count + 1, ms: sum.ms + ms });
};

const cluster = new SimulatedCluster(CONTROLLER_NAMES, tune);
for (const node of cluster.controllers) {
  node.version = { Controller: meteredCore(meter), encodePeerMessage, decodePeerMessage };
  node.restart();
}
for (let index = 0; index < SMALL_MACHINES; index++)
  cluster.addMachine(`m${1000 + index}`, 'small', index % 2 === 0 ? 'east' : 'west', index % 2 === 1);
for (let index = 0; index < BIG_MACHINES; index++)
  cluster.addMachine(`g${1000 + index}`, 'big', index % 2 === 0 ? 'east' : 'west');
let submitted = 0;
const submit = (id: string, over: Parameters<typeof job>[1]) => {
  const team = TEAMS[submitted++ % TEAMS.length] as string;
  cluster.submit(job(id, { team, ...over }));
};
const submitArray = (id: string) =>
  submit(id, {
    tasks: ARRAY_TASKS,
    cpus: 1.9,
    memory: 3.7,
    estimatedRunS: ARRAY_TASK_S,
    allowsSpot: true,
    priority: 1,
    image: `a${submitted % 16}`,
  });

cluster.run(SETTLE_S);
for (let index = 0; index < SERVICES; index++)
  submit(`run-s${index}`, {
    shape: 'service',
    tasks: REPLICAS_PER_SERVICE,
    priority: 3,
    cpus: 2,
    memory: 7.2,
    spread: true,
    image: `s${index % 20}`,
  });
for (let index = 0; index < INITIAL_ARRAYS; index++) submitArray(`run-b${index}`);
cluster.run(SETTLE_S);
sums.clear();
for (let second = 0; second < seconds; second++) {
  if (second % ARRAY_INTERVAL_S === 0) submitArray(`run-a${second}`);
  if (second % GANG_INTERVAL_S === 0)
    submit(`run-g${second}`, {
      shape: 'gang',
      tasks: 2,
      cpus: 43,
      gpus: 8,
      memory: 310,
      priority: 2,
      estimatedRunS: 200,
      checkpointIntervalS: 30,
    });
  cluster.run(1);
  cluster.trace = [];
}
const leader = cluster.controllers.find((node) => node.controller.leader.isLeading)?.name;
console.log(`leader ${leader}; processor milliseconds per second, and inputs per second`);
for (const [name, { count, ms }] of [...sums].sort((a, b) => b[1].ms - a[1].ms).slice(0, 24))
  console.log(`${(ms / seconds).toFixed(2).padStart(7)} ${(count / seconds).toFixed(1).padStart(7)} ${name}`);
