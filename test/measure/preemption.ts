// Measures what ended and preempted tasks cost a large fleet: `node tools/measure.mjs preemption [MACHINES] [CONTROLLERS] [TRAFFIC_S]`. Times
// are simulated; rates are of all controllers together.
import type { JobSpec } from '@archpost/protocol';
import { job, type SimulatedCluster, type SimulatedController } from '../simulation/index.js';
import { LargeFleet } from '../simulation/large-fleet.js';

const TEAM = 'red';
const TEAMS = ['red', 'blue', 'green', 'pink', 'gold', 'grey', 'teal'];
const SHORT_TASK_S = 10;
const SHORT_TASKS_PER_MACHINE = 3;
const TRAFFIC_S = Number(process.argv[4] ?? 180);
const TASKS_PER_ARRAY = 200;
const LONG_S = 3600;
const MAX_WAIT_S = 90;
const SETTLE_S = 40;

const machines = Number(process.argv[2] ?? 4000);
const controllers = Number(process.argv[3] ?? 3);
const fleet = new LargeFleet({ machines, controllers });
const { cluster } = fleet;

/** Largest and total number of exited tasks in heartbeats, and the number of heartbeats, since the last reset. */
const heartbeats = { count: 0, exited: 0, largest: 0 };
cluster.onHeartbeat = (heartbeat) => {
  const exited = heartbeat.tasks.filter((task) => task.state === 'exited').length;
  heartbeats.count++;
  heartbeats.exited += exited;
  heartbeats.largest = Math.max(heartbeats.largest, exited);
};

function submitAll(specs: readonly JobSpec[]): void {
  const up = cluster.controllers.filter((node) => node.up);
  specs.forEach((spec, index) => {
    cluster.specs.set(spec.id, spec);
    up[index % up.length]?.submit(spec, () => {});
    if (index % 10 === 9) cluster.run(0.1);
  });
}

const runningCount = (target: SimulatedCluster, specs: readonly JobSpec[]): number => {
  const ids = new Set(specs.map(({ id }) => id));
  let count = 0;
  for (const worker of target.workers)
    for (const task of worker.tasks.values()) if (task.state === 'running' && ids.has(task.job)) count++;
  return count;
};

/** Runs until the condition holds. Returns the seconds that this takes; null if it takes too long. */
function secondsUntil(holds: () => boolean): number | null {
  const from = cluster.now;
  while (!holds() && cluster.now - from < MAX_WAIT_S * 1000) cluster.run(0.1);
  return holds() ? (cluster.now - from) / 1000 : null;
}

/** Runs a phase and prints its duration and the writes and commands of it. */
function measure(name: string, phase: () => Record<string, number | null>): void {
  cluster.changes.clear();
  cluster.trace = [];
  Object.assign(heartbeats, { count: 0, exited: 0, largest: 0 });
  const commandsBefore = cluster.commands;
  const from = cluster.now;
  const result = phase();
  const seconds = (cluster.now - from) / 1000;
  const perS = (count: number) => Number((count / seconds).toFixed(2));
  const writes = [...cluster.changes.values()].reduce((sum, count) => sum + count, 0);
  console.log(
    JSON.stringify({
      phase: name,
      ...result,
      seconds,
      assignmentWritesPerS: perS(cluster.changes.get('g') ?? 0),
      assignmentWrites: cluster.changes.get('g') ?? 0,
      writesPerS: perS(writes),
      commandsPerS: perS(cluster.commands - commandsBefore),
      exitedPerHeartbeat: Number((heartbeats.exited / Math.max(1, heartbeats.count)).toFixed(2)),
      mostExited: heartbeats.largest,
    }),
  );
}

console.log(JSON.stringify({ machines, controllers, firstStartS: fleet.firstStart() }));

measure('short tasks end all the time', () => {
  const before = cluster.finished.size;
  const arraysPerS = (machines * SHORT_TASKS_PER_MACHINE) / SHORT_TASK_S / TASKS_PER_ARRAY;
  let submitted = 0;
  for (let second = 0; second < TRAFFIC_S; second++) {
    const due = Math.floor((second + 1) * arraysPerS) - submitted;
    const specs = Array.from({ length: due }, (_, index) =>
      job(`run-short${submitted + index}`, {
        team: TEAMS[(submitted + index) % TEAMS.length],
        tasks: TASKS_PER_ARRAY,
        cpus: 1,
        memory: 1,
        estimatedRunS: SHORT_TASK_S,
      }),
    );
    submitted += due;
    submitAll(specs);
    cluster.run(1);
  }
  return { tasksDone: cluster.finished.size - before, tasksSubmitted: submitted * TASKS_PER_ARRAY };
});
cluster.run(30);

const gang = { shape: 'gang' as const, tasks: 4, gpus: 8, cpus: 40, memory: 100, estimatedRunS: LONG_S };
const bigMachines = cluster.workers.filter((worker) => worker.type === 'big' && !worker.dead).length;
const shardOf = (team: string): number => {
  const { clusterState } = (cluster.controllers[0] as SimulatedController).controller;
  return clusterState.shardOfTeam[clusterState.teamNames.indexOf(team)] ?? 0;
};
const preemptingTeam = TEAMS.find((team) => team !== TEAM && shardOf(team) === shardOf(TEAM)) as string;
const borrowingTeams = [TEAM, TEAMS.find((team) => shardOf(team) !== shardOf(TEAM)) as string];
const borrowing = Array.from({ length: Math.floor(bigMachines / gang.tasks) }, (_, index) =>
  job(`run-low${index}`, { ...gang, team: borrowingTeams[index % borrowingTeams.length], priority: 1 }),
);
const preempting = Array.from({ length: Math.floor(bigMachines / 8 / gang.tasks) }, (_, index) =>
  job(`run-high${index}`, { ...gang, team: preemptingTeam, priority: 2 }),
);
measure('gangs above their guarantee start', () => {
  submitAll(borrowing);
  cluster.run(SETTLE_S);
  return { tasks: borrowing.length * gang.tasks, running: runningCount(cluster, borrowing) };
});
cluster.run(20);
measure('gangs within their guarantee preempt them', () => {
  const from = cluster.now;
  submitAll(preempting);
  const half = secondsUntil(() => runningCount(cluster, preempting) >= (preempting.length * gang.tasks) / 2);
  const halfS = half === null ? null : (cluster.now - from) / 1000;
  const all = secondsUntil(() => runningCount(cluster, preempting) === preempting.length * gang.tasks);
  const allS = all === null ? null : (cluster.now - from) / 1000;
  return { gangs: preempting.length, halfS, allS };
});
cluster.run(20);

const east = cluster.workers.filter((worker) => worker.type === 'small' && worker.zone === 'east' && !worker.dead).length;
const filling = [
  job('run-fill', { team: TEAM, priority: 0, tasks: east, cpus: 4, memory: 4, estimatedRunS: LONG_S, zone: 'east' }),
];
const elsewhere = Math.floor(east / 4);
measure('an array fills a zone', () => {
  submitAll(filling);
  return { startedS: secondsUntil(() => runningCount(cluster, filling) >= east * 0.9), running: runningCount(cluster, filling) };
});
cluster.run(20);
measure('services preempt a part of it', () => {
  const services = Array.from({ length: Math.floor(elsewhere / 4) }, (_, index) =>
    job(`run-serve${index}`, { team: TEAM, shape: 'service', priority: 3, jobClass: 'serve', tasks: 4, cpus: 4, zone: 'east' }),
  );
  const from = cluster.now;
  submitAll(services);
  const startedS = secondsUntil(() => runningCount(cluster, services) === services.length * 4);
  const servicesS = startedS === null ? null : (cluster.now - from) / 1000;
  for (const service of services) cluster.controllers[0]?.cancel(service.id, () => {});
  const before = cluster.now;
  const again = secondsUntil(() => runningCount(cluster, filling) >= east * 0.9);
  return { replicas: services.length * 4, servicesS, preemptedRunAgainS: again === null ? null : (cluster.now - before) / 1000 };
});
