// Measures how many healthy machines one real controller releases while the controller, its workers or its state service are
// starved of processor time. Each side is a separate process; one side is repeatedly stopped and continued by signals:
//
//     node tools/measure.mjs starvation SIDE STOPPED_MS PERIOD_MS [MACHINES] [REPORT_S] [SECONDS] [SOCKETS] [DEAD]
//
// SIDE: controller, workers, both, state or none. DEAD: number of machines that die after a third of the time.

import { type ChildProcess, fork } from 'node:child_process';
import { CloudServer, type ListedMachine } from '../loopback/cloud-server.js';
import { ControllerProcess, freeAddress } from '../loopback/controller-process.js';
import { StateServer } from '../loopback/state-server.js';
import { WorkerFleet } from '../loopback/worker-fleet.js';

/** First arguments of the child processes. */
const WORKERS_ROLE = 'role-workers';
const STATE_ROLE = 'role-state';

const WORKER_PROCESSES = 4;
const ZONES = ['east', 'west'];
const LEASE_MS = 12_000;
const POLL_INTERVAL_MS = 100;

/** Time without disturbance at first, so that the start of the fleet is not measured. */
const WARM_UP_MS = 15_000;

/** Time after the disturbance in which pending requests end. */
const SETTLE_MS = 1000;

/** Maximum number of releases of healthy machines that are printed with their evidence. */
const MAX_EVIDENCE = 12;

/** The parameters of a run. */
interface Run {
  side: string;
  stoppedMs: number;
  periodMs: number;
  machines: number;
  reportS: number;
  seconds: number;
  sockets: number;
  dead: number;
}

/** The options of a worker process, which runs one part of all workers. */
interface WorkersPart {
  machines: number;
  part: number;
  reportS: number;
  controller: string;
}

/** The summary that a worker process reports on request. */
interface WorkersSummary {
  sent: number;
  timedOut: number;
  connectionFailed: number;
  byStatus: [number, number][];
  /** number of workers whose lease expired between two renewals */
  expiredLeases: number;
}

type ToWorkers = { type: 'start' } | { type: 'die'; count: number } | { type: 'summary' };
type FromWorkers =
  | { type: 'machines'; machines: ListedMachine[] }
  | { type: 'dead'; names: string[] }
  | { type: 'summary'; summary: WorkersSummary };

/** The processes and services of a run. */
interface Processes {
  controller: ControllerProcess;
  workers: ChildProcess[];
  state: ChildProcess;
  cloud: CloudServer;
}

/** Observations made while a side was disturbed. */
interface Observation {
  /** when the machines died; null: none died */
  diedAt: number | null;
  deadNames: ReadonlySet<string>;
  /** when the release of each machine was observed */
  releasedAt: ReadonlyMap<string, number>;
  processorMs: number;
}

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

function summaryOf(fleet: WorkerFleet): WorkersSummary {
  const { sent, timedOut, connectionFailed, byStatus } = fleet.counts;
  const expiredLeases = fleet.workers.filter(({ longestRenewalGapMs }) => longestRenewalGapMs > LEASE_MS).length;
  return { sent, timedOut, connectionFailed, byStatus: [...byStatus], expiredLeases };
}

/** Runs a worker process. */
async function runWorkers({ machines, part, reportS, controller }: WorkersPart): Promise<void> {
  const fleet = new WorkerFleet(['n0'], [controller], reportS * 1000);
  await fleet.add(machines, ZONES, part, WORKER_PROCESSES);
  const send = (message: FromWorkers) => process.send?.(message);
  send({ type: 'machines', machines: fleet.workers.map(({ machine }) => machine) });
  process.on('message', (message: ToWorkers) => {
    if (message.type === 'start') fleet.start();
    else if (message.type === 'summary') send({ type: 'summary', summary: summaryOf(fleet) });
    else {
      const dying = fleet.workers.slice(0, message.count);
      for (const worker of dying) worker.die();
      send({ type: 'dead', names: dying.map(({ machine }) => machine.name) });
    }
  });
}

/** Runs the state service as a separate process. */
async function runState(): Promise<void> {
  const state = new StateServer();
  process.send?.(await state.listen());
}

function forkRole(role: string, options: unknown): ChildProcess {
  return fork(process.argv[1] as string, [role, JSON.stringify(options)], { stdio: 'inherit' });
}

/** Returns the next message of this type from the process. */
function messageOf<Type extends FromWorkers['type']>(
  child: ChildProcess,
  type: Type,
): Promise<Extract<FromWorkers, { type: Type }>> {
  return new Promise((resolve) => {
    const listener = (message: FromWorkers) => {
      if (message.type !== type) return;
      child.off('message', listener);
      resolve(message as Extract<FromWorkers, { type: Type }>);
    };
    child.on('message', listener);
  });
}

function parseRun([side, ...numbers]: string[]): Run {
  const [stoppedMs = 500, periodMs = 1000, machines = 600, reportS = 2, seconds = 60, sockets, dead = 0] = numbers.map(Number);
  const enoughSockets = Math.ceil(machines * 1.35) + 200;
  return { side: side ?? 'controller', stoppedMs, periodMs, machines, reportS, seconds, sockets: sockets ?? enoughSockets, dead };
}

/** Starts all processes, waits until the controller is ready and starts the heartbeats. */
async function startAll({ machines, reportS, sockets }: Run): Promise<Processes> {
  const publicAddress = await freeAddress();
  const state = forkRole(STATE_ROLE, {});
  const stateAddress = await new Promise<string>((resolve) => state.once('message', (address) => resolve(String(address))));
  const workers = Array.from({ length: WORKER_PROCESSES }, (_, part) =>
    forkRole(WORKERS_ROLE, { machines, part, reportS, controller: publicAddress } satisfies WorkersPart),
  );
  const listed = (await Promise.all(workers.map((child) => messageOf(child, 'machines')))).flatMap((message) => message.machines);
  listed.sort((a, b) => (a.name < b.name ? -1 : 1));
  const cloud = new CloudServer(() => listed);
  const controller = new ControllerProcess({
    name: 'n0',
    zone: 'east',
    publicAddress,
    peerAddress: await freeAddress(),
    others: [],
    cloud: await cloud.listen(),
    state: stateAddress,
    zones: ZONES,
    memoryMb: 300,
    sockets,
    writesPerS: 2000,
    reportS,
  });
  controller.start();
  process.on('exit', () => {
    for (const child of [...workers, state]) child.kill('SIGKILL');
    controller.stop();
  });
  while (!(await controller.isUp())) await sleep(POLL_INTERVAL_MS);
  for (const child of workers) child.send({ type: 'start' } satisfies ToWorkers);
  return { controller, workers, state, cloud };
}

function signalSide(side: string, { controller, workers, state }: Processes, signal: NodeJS.Signals): void {
  if (side === 'controller' || side === 'both') controller.signal(signal);
  if (side === 'workers' || side === 'both') for (const child of workers) child.kill(signal);
  if (side === 'state') state.kill(signal);
}

/** Kills machines of the first worker process. Returns their names. */
async function killMachines({ workers }: Processes, count: number): Promise<string[]> {
  const child = workers[0] as ChildProcess;
  const response = messageOf(child, 'dead');
  child.send({ type: 'die', count } satisfies ToWorkers);
  return (await response).names;
}

/** Stops and continues the side once per period until the end of the run. */
async function disturb(run: Run, processes: Processes): Promise<Observation> {
  const { controller, cloud } = processes;
  const releasedAt = new Map<string, number>();
  const deadNames = new Set<string>();
  let diedAt: number | null = null;
  const from = Date.now();
  const processorBefore = controller.processorMs();
  while (Date.now() - from < run.seconds * 1000 && !controller.ended) {
    if (run.dead > 0 && diedAt === null && Date.now() - from > (run.seconds * 1000) / 3) {
      for (const name of await killMachines(processes, run.dead)) deadNames.add(name);
      diedAt = Date.now();
    }
    signalSide(run.side, processes, 'SIGSTOP');
    await sleep(run.stoppedMs);
    signalSide(run.side, processes, 'SIGCONT');
    await sleep(Math.max(0, run.periodMs - run.stoppedMs));
    for (const name of cloud.releasedMachines) if (!releasedAt.has(name)) releasedAt.set(name, Date.now());
  }
  return { diedAt, deadNames, releasedAt, processorMs: controller.processorMs() - processorBefore };
}

/** Sums the summaries of all worker processes. */
async function workersFigures({ workers }: Processes): Promise<Record<string, unknown>> {
  const summaries = await Promise.all(
    workers.map(async (child) => {
      const response = messageOf(child, 'summary');
      child.send({ type: 'summary' } satisfies ToWorkers);
      return (await response).summary;
    }),
  );
  const total = (of: (summary: WorkersSummary) => number) => summaries.reduce((sum, summary) => sum + of(summary), 0);
  const responseCounts: Record<string, number> = {};
  for (const [status, count] of summaries.flatMap(({ byStatus }) => byStatus))
    responseCounts[status] = (responseCounts[status] ?? 0) + count;
  return {
    heartbeatsSent: total(({ sent }) => sent),
    answers: responseCounts,
    noAnswerIn4S: total(({ timedOut }) => timedOut),
    connectionFailed: total(({ connectionFailed }) => connectionFailed),
    workersWhoseLeaseRanOut: total(({ expiredLeases }) => expiredLeases),
  };
}

/** Figures of the controller, taken from its log. */
function controllerFigures({ log, ended }: ControllerProcess, deadNames: ReadonlySet<string>): Record<string, unknown> {
  const releases: Record<string, number> = {};
  const healthyReleases = log.filter(({ msg, machine }) => msg === 'releasing machine' && !deadNames.has(String(machine)));
  for (const { reason } of healthyReleases) releases[String(reason)] = (releases[String(reason)] ?? 0) + 1;
  const evidence = healthyReleases.map(({ contactAgeS, readableS, unanswered }) => ({ contactAgeS, readableS, unanswered }));
  const heartbeatsReceived = log
    .filter(({ msg }) => msg === 'process')
    .reduce((sum, { heartbeats }) => sum + Number(heartbeats), 0);
  const pausesLogged = log.filter(({ msg }) => msg === 'process paused').length;
  return { ended, releases, evidence: evidence.slice(0, MAX_EVIDENCE), heartbeatsReceived, pausesLogged };
}

/** Minimum, median and maximum time from the death of a machine to its release. */
function deadFigures({ deadNames, releasedAt, diedAt }: Observation): Record<string, unknown> {
  const delays = [...deadNames]
    .flatMap((name) => releasedAt.get(name) ?? [])
    .map((at) => at - (diedAt ?? at))
    .sort((a, b) => a - b);
  const deadReleaseMs = [delays[0], delays[Math.floor(delays.length / 2)], delays.at(-1)];
  return { deadReleased: delays.length, deadReleaseMs };
}

async function measureRun(run: Run): Promise<void> {
  const processes = await startAll(run);
  await sleep(WARM_UP_MS);
  const observation = await disturb(run, processes);
  await sleep(SETTLE_MS);
  const { controller, cloud } = processes;
  const figures = {
    ...run,
    healthyReleased: [...cloud.releasedMachines].filter((name) => !observation.deadNames.has(name)).length,
    ...controllerFigures(controller, observation.deadNames),
    ...deadFigures(observation),
    ...(await workersFigures(processes)),
    processorShare: Math.round(observation.processorMs / (run.seconds * 10)) / 100,
  };
  console.log(JSON.stringify(figures));
  process.exit(0);
}

const [role, options] = process.argv.slice(2);
if (role === WORKERS_ROLE) await runWorkers(JSON.parse(options ?? '{}') as WorkersPart);
else if (role === STATE_ROLE) await runState();
else await measureRun(parseRun(process.argv.slice(2)));
