/** Controllers, state service, cloud, workers and users on one simulated clock. The simulation is deterministic. */
import assert from 'node:assert/strict';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import type { ControllerSettings, Effect } from '@archpost/controller';
import type { Command, Heartbeat, JobSpec, ListedMachine } from '@archpost/protocol';
import { SimulatedController } from './controller.js';
import { RuleChecker } from './rules.js';
import { SimulatedStateService } from './state-service.js';
import { SimulatedWorker } from './worker.js';

/** A cluster in simulated time. After every step it checks the rules that are observable from the workers. */
export class SimulatedCluster {
  now = 0;
  readonly leaseMs = 12_000;
  readonly stateService = new SimulatedStateService();
  readonly controllers: SimulatedController[];
  readonly workers: SimulatedWorker[] = [];
  readonly specs = new Map<string, JobSpec>();
  /** ids of the dependencies of each job; every submission of the job lists them */
  readonly awaits = new Map<string, string[]>();
  /** time of the first response that reported a job as cancelled, by job id */
  readonly cancelledAt = new Map<string, number>();
  /** tasks that ended as done, as `job/index` */
  readonly finished = new Set<string>();
  readonly rules = new RuleChecker(this);
  /** ids of jobs whose tasks fail on every machine */
  readonly failingJobs = new Set<string>();
  isStateServiceDown = false;
  isCloudDown = false;
  /** Reports whether the response to a transaction is lost. `apply` commits the transaction; the function may call it now or later. */
  losesTransactionResponse: ((transaction: Extract<Effect, { type: 'compareAndSwap' }>, apply: () => void) => boolean) | null =
    null;
  /** delay after which a lost command arrives at its worker after all; null: it never arrives */
  lateCommandDelayMs: (() => number) | null = null;
  /** Reports whether two controllers, or a controller and a machine, can't reach each other. */
  isPartitioned: (a: string, b: string) => boolean = () => false;
  /** Reports whether commands and responses of the controller don't reach the machine; the machine's heartbeats still arrive. */
  losesControllerMessages: (controller: string, machine: string) => boolean = () => false;
  /** Reports whether direct commands of the controller to the machine are lost; the machine's heartbeats still get responses. */
  losesCommands: (controller: string, machine: string) => boolean = () => false;
  /** Reports whether the controller can't connect to the machine, so that direct commands are not sent. */
  refusesCommands: (controller: string, machine: string) => boolean = () => false;
  /** Reports whether the controller withholds the commands to the machine because the controller itself is late. */
  withholdsCommands: (controller: string, machine: string) => boolean = () => false;
  /** Reports whether statuses from the first controller to the second are lost. The other direction is independent. */
  losesPeerMessages: (from: string, to: string) => boolean = () => false;
  /** Reports whether statuses from the first controller to the second arrive 15 s late. */
  delaysPeerMessages: (from: string, to: string) => boolean = () => false;
  /** Reports whether the machine's responses to commands are unreadable; it executes the commands. */
  garblesCommandResponses: (controller: string, machine: string) => boolean = () => false;
  /** Reports whether the machine's heartbeats reach no controller; direct commands still reach the machine. */
  losesHeartbeats: (machine: string) => boolean = () => false;
  /** called after each simulation step */
  afterStep: (() => void) | null = null;
  /** called with everything that controllers log */
  onLog: ((controller: string, effect: Extract<Effect, { type: 'log' }>) => void) | null = null;
  /** called with every encoded status and forwarded heartbeat when it is sent */
  onPeerMessage: ((bytes: Uint8Array) => void) | null = null;
  /** called with every heartbeat when it is sent; tests deliver copies of them late */
  onHeartbeat: ((heartbeat: Heartbeat) => void) | null = null;
  /** delay of the response to a transaction after its commit */
  transactionResponseMs: (controller: string) => number = () => 10;
  /** delay of the response to a command after its execution */
  commandResponseMs: () => number = () => 10;
  /** boot time of provisioned machines; null: the cloud has no capacity */
  bootTimeMs: (() => number) | null = null;
  private provisionedCount = 0;
  /** number of complete heartbeats that controllers forwarded to each other */
  forwardedHeartbeats = 0;
  /** total size of the statuses between controllers, and their number */
  statusBytes = 0;
  statuses = 0;
  /** number of writes sent to the state service, by kind of key */
  readonly changes = new Map<string, number>();
  /** number of read barriers requested, and of command messages that are not probes */
  readBarriers = 0;
  commands = 0;
  /** number of machine lists requested from the cloud */
  listRequests = 0;
  /** called with the commands of each message to a worker */
  onCommands: ((commands: Command[]) => void) | null = null;
  /** provisioning requests that the cloud received */
  readonly provisioningRequests: { type: string; spot: boolean; at: number }[] = [];
  /** highest number of simultaneously pending probes of one controller */
  maxPendingProbes = 0;
  trace: string[] = [];
  private queue: { at: number; run: () => void }[] = [];
  private readonly workersByName = new Map<string, SimulatedWorker>();

  constructor(
    readonly names = ['n0', 'n1', 'n2'],
    readonly tune: (settings: ControllerSettings) => ControllerSettings = (settings) => settings,
  ) {
    this.controllers = names.map((name) => new SimulatedController(this, name));
  }

  worker(name: string): SimulatedWorker | undefined {
    return this.workersByName.get(name);
  }

  /** Starts a second process with the name of a running controller. */
  startDuplicate(name: string): SimulatedController {
    const second = new SimulatedController(this, name);
    // Without this the second process would have the incarnation of the first.
    second.restart();
    this.controllers.push(second);
    return second;
  }

  controller(name: string): SimulatedController {
    return this.controllers.find((node) => node.name === name) as SimulatedController;
  }

  note(text: string): void {
    this.trace.push(`${(this.now / 1000).toFixed(1).padStart(6)} ${text}`);
  }

  runAt(when: number, run: () => void): void {
    this.queue.push({ at: when, run });
  }

  addMachine(name: string, type = 'small', zone = 'east', spot = false): SimulatedWorker {
    const worker = new SimulatedWorker(this, name, type, zone, spot);
    this.workers.push(worker);
    this.workersByName.set(name, worker);
    return worker;
  }

  /** Provisions machines, which boot after `bootTimeMs`. Returns their names; null: the cloud is down or has no capacity. */
  provision(type: string, zone: string, spot: boolean, count: number): string[] | null {
    if (!this.bootTimeMs || this.isCloudDown) return null;
    const names = Array.from({ length: count }, () => `r${this.provisionedCount++}`);
    for (const name of names) this.runAt(this.now + this.bootTimeMs(), () => void this.addMachine(name, type, zone, spot));
    return names;
  }

  /** Returns the cloud's machine list; empty in clusters whose cloud has no capacity. */
  machineList(): ListedMachine[] {
    if (!this.bootTimeMs) return [];
    return this.workers
      .filter((worker) => !worker.dead)
      .map((worker) => ({
        machine: worker.name,
        address: worker.name,
        type: worker.type,
        zone: worker.zone,
        spot: worker.spot,
        state: 'running' as const,
        ageS: (this.now - worker.createdAt) / 1000,
      }));
  }

  releaseMachine(name: string): void {
    const worker = this.workersByName.get(name);
    if (!worker) return;
    worker.dead = true;
    worker.tasks.clear();
    this.note(`${name} is released`);
  }

  run(seconds: number): void {
    const end = this.now + seconds * 1000;
    while (this.now < end) {
      this.now += 100;
      const due = this.queue.filter((scheduled) => scheduled.at <= this.now).sort((a, b) => a.at - b.at);
      this.queue = this.queue.filter((scheduled) => scheduled.at > this.now);
      for (const scheduled of due) scheduled.run();
      // After an outage every lease has its full time to live again.
      if (this.isStateServiceDown) for (const lease of this.stateService.leases.values()) lease.until = this.now + lease.ttl;
      else this.stateService.expire(this.now);
      for (const worker of this.workers) worker.tick();
      for (const node of this.controllers) node.tick();
      this.rules.checkStep();
      this.afterStep?.();
    }
  }

  /** Runs until the condition holds. Fails if it doesn't hold within `seconds` of simulated time. */
  runUntil(what: string, holds: () => boolean, seconds = 60): void {
    const end = this.now + seconds * 1000;
    while (!holds()) {
      assert.ok(this.now < end, `not within ${seconds} s: ${what}\n${this.trace.join('\n')}`);
      this.run(0.1);
    }
  }

  submit(spec: JobSpec, at = this.controllers.find((node) => node.up) as SimulatedController, awaits: string[] = []): void {
    this.specs.set(spec.id, spec);
    if (awaits.length > 0) this.awaits.set(spec.id, awaits);
    let status = 0;
    at.submit(spec, (code) => {
      status = code;
    });
    this.runUntil(`${spec.id} accepted`, () => status !== 0, 6);
    this.note(`user received ${status} for ${spec.id}`);
  }

  cancel(id: string, at = this.controllers.find((node) => node.up) as SimulatedController): void {
    let response = '';
    at.cancel(id, (_code, body) => {
      response = String(body.status ?? body.error);
    });
    this.runUntil(`${id} cancelled`, () => response !== '', 6);
    this.rules.recordReportedStatus(id, response);
    this.note(`user received ${response} for ${id}`);
  }

  /** Queries the job as a user. Returns its status, or the status code of an error response. */
  queryStatus(id: string, at = this.controllers.find((node) => node.up) as SimulatedController): string {
    let response = '';
    at.queryStatus(id, (code, body) => {
      response = code === 200 ? String(body.status) : String(code);
    });
    this.runUntil(`the status of ${id} received`, () => response !== '', 6);
    this.rules.recordReportedStatus(id, response);
    return response;
  }

  machinesRunning(id: string): string[] {
    return this.workers
      .filter((worker) => !worker.dead && [...worker.tasks.values()].some((task) => task.job === id && task.state !== 'exited'))
      .map((worker) => worker.name);
  }

  runningTasks(id: string): number {
    return this.workers.reduce(
      (count, worker) =>
        count +
        (worker.dead ? 0 : [...worker.tasks.values()].filter((task) => task.job === id && task.state === 'running').length),
      0,
    );
  }

  fail(what: string): never {
    assert.fail(`${what}\n${this.trace.join('\n')}`);
  }

  /** Returns whether all tasks of the job are done. */
  allTasksDone(id: string): boolean {
    const spec = this.specs.get(id);
    if (!spec) return false;
    const done = Array.from({ length: spec.tasks }, (_, index) => this.finished.has(`${id}/${index}`));
    // The tasks of a gang complete together: if one task is done, all are.
    return spec.shape === 'gang' ? done.some((isDone) => isDone) : done.every((isDone) => isDone);
  }

  /** Runs until all machines are assigned and verified, and clears the trace. */
  runUntilSettled(): void {
    this.runUntil(
      'all machines assigned',
      () =>
        this.workers.every(
          (worker) =>
            worker.dead ||
            [...this.controllers].some(
              (node) => node.up && node.controller.clusterState.machines.get(worker.name)?.tenure.isVerified,
            ),
        ),
      40,
    );
    this.run(1);
    this.trace = [];
  }
}

/** Returns a settled cluster of small machines that alternate between both zones. */
export function smallCluster(machines: number): SimulatedCluster {
  const cluster = new SimulatedCluster();
  for (let index = 0; index < machines; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  return cluster;
}

const firstUpController = (cluster: SimulatedCluster) => cluster.controllers.find((node) => node.up);

/** Returns the job's shard in the cluster state of the first running controller; -1 if the job is not in it. */
export const shardOf = (cluster: SimulatedCluster, id: string): number =>
  firstUpController(cluster)?.controller.clusterState.jobs.get(id)?.shard ?? -1;

/** Returns the name of the shard's lease holder in the cluster state of the first running controller; empty if there is none. */
export const holderOf = (cluster: SimulatedCluster, shard: number | 'lead'): string =>
  firstUpController(cluster)?.controller.clusterState.leaseOf(shard)?.holder.controller ?? '';

/**
 * Compares the cluster's trace with the golden trace in test/traces. UPDATE_TRACES=1 overwrites the golden trace; review the
 * difference before committing it.
 */
export function assertGoldenTrace(cluster: SimulatedCluster, name: string): void {
  const path = `test/traces/${name}.txt`;
  const text = `${cluster.trace.join('\n')}\n`;
  if (process.env.UPDATE_TRACES === '1') {
    mkdirSync('test/traces', { recursive: true });
    writeFileSync(path, text);
  }
  assert.equal(text, readFileSync(path, 'utf8'), `the trace differs from ${path}`);
}
