// What one real controller does to healthy machines while it, its workers or its state service are short of processor. Each
// side is a process of its own, and one of them is stopped and continued by signals:
//
//     node tools/measure.mjs starvation SIDE STOPPED_MS PERIOD_MS [MACHINES] [REPORT_S] [SECONDS] [SOCKETS] [DEAD]
//
// SIDE: controller, workers, both, state or none. DEAD: machines that die after a third of the time.

import { type ChildProcess, fork } from 'node:child_process';
import { CloudServer, type ListedMachine } from '../loopback/cloud-server.js';
import { ControllerProcess, freeAddress } from '../loopback/controller-process.js';
import { StateServer } from '../loopback/state-server.js';
import { type RequestCounts, WorkerFleet } from '../loopback/worker-fleet.js';

const WORKER_PROCESSES = 4;
const ZONES = ['east', 'west'];
const LEASE_MS = 12_000;
const POLL_MS = 100;

/** Releases of healthy machines that are printed with what they rested on. */
const MAX_EVIDENCE = 12;

/** The arguments of a process of workers: which part of all workers it has. */
interface WorkersPart {
  machines: number;
  part: number;
  parts: number;
  reportS: number;
  controller: string;
}

/** What a process of workers says when it is asked. */
interface WorkersSummary {
  sent: number;
  timedOut: number;
  connectionFailed: number;
  byStatus: [number, number][];
  /** workers whose lease ran out between two answers */
  leasesOver: number;
}

type ToWorkers = { type: 'start' } | { type: 'die'; count: number } | { type: 'summary' };
type FromWorkers =
  | { type: 'machines'; machines: ListedMachine[] }
  | { type: 'dead'; names: string[] }
  | { type: 'summary'; summary: WorkersSummary };

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

function summaryOf(counts: RequestCounts, fleet: WorkerFleet): WorkersSummary {
  const { sent, timedOut, connectionFailed, byStatus } = counts;
  const leasesOver = fleet.workers.filter(({ longestUnrenewedMs }) => longestUnrenewedMs > LEASE_MS).length;
  return { sent, timedOut, connectionFailed, byStatus: [...byStatus], leasesOver };
}

/** A process of workers: every `parts`-th of all. */
async function runWorkers({ machines, part, parts, reportS, controller }: WorkersPart): Promise<void> {
  const fleet = new WorkerFleet(['n0'], [controller], reportS * 1000);
  await fleet.add(machines, ZONES, part, parts);
  const send = (message: FromWorkers) => process.send?.(message);
  send({ type: 'machines', machines: fleet.workers.map(({ machine }) => machine) });
  process.on('message', (message: ToWorkers) => {
    if (message.type === 'start') fleet.start();
    else if (message.type === 'summary') send({ type: 'summary', summary: summaryOf(fleet.counts, fleet) });
    else {
      const dying = fleet.workers.slice(0, message.count);
      for (const worker of dying) worker.die();
      send({ type: 'dead', names: dying.map(({ machine }) => machine.name) });
    }
  });
}

/** The state service, in a process of its own. */
async function runState(): Promise<void> {
  const state = new StateServer();
  process.send?.(await state.listen());
}

function forkRole(role: string, options: unknown): ChildProcess {
  return fork(process.argv[1] as string, [role, JSON.stringify(options)], { stdio: 'inherit' });
}

/** The next message of this type from the process. */
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

function percentile(sorted: readonly number[], fraction: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? Number.NaN;
}

async function play(): Promise<void> {
  const [side = 'controller', stopped = '500', period = '1000', machineCount = '600', report = '2', length = '60'] =
    process.argv.slice(2);
  const [stoppedMs, periodMs, machines, reportS, seconds] = [stopped, period, machineCount, report, length].map(Number) as [
    number,
    number,
    number,
    number,
    number,
  ];
  const sockets = Number(process.argv[8] ?? Math.ceil(machines * 1.35) + 200);
  const dead = Number(process.argv[9] ?? 0);
  const publicAddress = await freeAddress();
  const stateProcess = forkRole('state', {});
  const state = await new Promise<string>((resolve) => stateProcess.once('message', (address) => resolve(String(address))));
  const workers = Array.from({ length: WORKER_PROCESSES }, (_, part) =>
    forkRole('workers', { machines, part, parts: WORKER_PROCESSES, reportS, controller: publicAddress }),
  );
  const listed = (await Promise.all(workers.map((child) => messageOf(child, 'machines')))).flatMap((message) => message.machines);
  listed.sort((a, b) => (a.name < b.name ? -1 : 1));
  const returnedAt = new Map<string, number>();
  const cloud = new CloudServer(() => listed);
  const controller = new ControllerProcess({
    name: 'n0',
    zone: 'east',
    publicAddress,
    peerAddress: await freeAddress(),
    others: [],
    cloud: await cloud.listen(),
    state,
    zones: ZONES,
    memoryMb: 300,
    sockets,
    writesPerS: 2000,
    reportS,
  });
  controller.start();
  const end = () => {
    for (const child of [...workers, stateProcess]) child.kill('SIGKILL');
    controller.stop();
  };
  process.on('exit', end);
  while (!(await controller.isUp())) await sleep(POLL_MS);
  for (const child of workers) child.send({ type: 'start' } satisfies ToWorkers);
  // Undisturbed for a moment, so that the first start is not what is measured.
  await sleep(15_000);
  const signalAll = (name: NodeJS.Signals) => {
    if (side === 'controller' || side === 'both') controller.signal(name);
    if (side === 'workers' || side === 'both') for (const child of workers) child.kill(name);
    if (side === 'state') stateProcess.kill(name);
  };
  const deadNames = new Set<string>();
  const from = Date.now();
  let diedAt = 0;
  const cpuBefore = controller.processorMs();
  while (Date.now() - from < seconds * 1000 && !controller.ended) {
    if (dead > 0 && diedAt === 0 && Date.now() - from > (seconds * 1000) / 3) {
      const child = workers[0] as ChildProcess;
      const answer = messageOf(child, 'dead');
      child.send({ type: 'die', count: dead } satisfies ToWorkers);
      for (const name of (await answer).names) deadNames.add(name);
      diedAt = Date.now();
    }
    if (side !== 'none') signalAll('SIGSTOP');
    await sleep(side === 'none' ? 0 : stoppedMs);
    if (side !== 'none') signalAll('SIGCONT');
    await sleep(Math.max(0, periodMs - stoppedMs));
    for (const name of cloud.returned) if (!returnedAt.has(name)) returnedAt.set(name, Date.now());
  }
  const cpuMs = controller.processorMs() - cpuBefore;
  await sleep(1000);
  const summaries: WorkersSummary[] = [];
  for (const child of workers) {
    const answer = messageOf(child, 'summary');
    child.send({ type: 'summary' } satisfies ToWorkers);
    summaries.push((await answer).summary);
  }
  const total = (of: (summary: WorkersSummary) => number) => summaries.reduce((sum, summary) => sum + of(summary), 0);
  const statuses = new Map<number, number>();
  for (const { byStatus } of summaries)
    for (const [status, count] of byStatus) statuses.set(status, (statuses.get(status) ?? 0) + count);
  const releases = new Map<string, number>();
  for (const { msg, reason, machine } of controller.log)
    if (msg === 'releasing machine' && !deadNames.has(String(machine)))
      releases.set(String(reason), (releases.get(String(reason)) ?? 0) + 1);
  // What the releases of healthy machines rested on, where the log says so.
  const evidence = controller.log
    .filter(({ msg, machine }) => msg === 'releasing machine' && !deadNames.has(String(machine)))
    .map(({ contactAgeS, readableS, unanswered }) => ({ contactAgeS, readableS, unanswered }));
  const received = controller.log
    .filter(({ msg }) => msg === 'process')
    .reduce((sum, { heartbeats }) => sum + Number(heartbeats), 0);
  const pauses = controller.log.filter(({ msg }) => msg === 'process paused').length;
  const delays = [...deadNames].flatMap((name) => (returnedAt.has(name) ? [(returnedAt.get(name) as number) - diedAt] : []));
  delays.sort((a, b) => a - b);
  console.log(
    JSON.stringify({
      side,
      stoppedMs,
      periodMs,
      machines,
      reportS,
      seconds,
      sockets,
      ended: controller.ended,
      healthyReleased: [...cloud.returned].filter((name) => !deadNames.has(name)).length,
      releases: Object.fromEntries(releases),
      evidence: evidence.slice(0, MAX_EVIDENCE),
      dead: deadNames.size,
      deadReleased: delays.length,
      deadReleaseMs: [percentile(delays, 0), percentile(delays, 0.5), percentile(delays, 1)],
      heartbeatsSent: total(({ sent }) => sent),
      heartbeatsReceived: received,
      answers: Object.fromEntries(statuses),
      noAnswerIn4S: total(({ timedOut }) => timedOut),
      connectionFailed: total(({ connectionFailed }) => connectionFailed),
      workersWhoseLeaseRanOut: total(({ leasesOver }) => leasesOver),
      pausesLogged: pauses,
      processorShare: Math.round(cpuMs / (seconds * 10)) / 100,
    }),
  );
  process.exit(0);
}

const [role, options] = process.argv.slice(2);
if (role === 'workers' && options !== undefined) await runWorkers(JSON.parse(options) as WorkersPart);
else if (role === 'state' && options === '{}') await runState();
else await play();
