/** Controllers, state service, cloud, workers and users in one simulated time. Nothing here is random. */
import assert from 'node:assert/strict';
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import type { ControllerSettings, Effect } from '@archpost/controller';
import type { Command, Heartbeat, JobSpec, ListedMachine } from '@archpost/protocol';
import { SimulatedController } from './controller.js';
import { RuleChecker } from './rules.js';
import { SimulatedStateService } from './state-service.js';
import { SimulatedWorker } from './worker.js';

/** A cluster in simulated time. Every step checks the rules that can be seen from the workers. */
export class SimulatedCluster {
  now = 0;
  readonly leaseMs = 12_000;
  readonly stateService = new SimulatedStateService();
  readonly controllers: SimulatedController[];
  readonly workers: SimulatedWorker[] = [];
  readonly specs = new Map<string, JobSpec>();
  /** the jobs that a job awaits, as its user says at each submission */
  readonly awaits = new Map<string, string[]>();
  readonly cancelledAt = new Map<string, number>();
  readonly finished = new Set<string>();
  readonly rules = new RuleChecker(this);
  /** jobs submitted with a mistake: their tasks fail wherever they start */
  readonly failingJobs = new Set<string>();
  isStateServiceDown = false;
  isCloudDown = false;
  /** says whether a transaction's answer is lost; `apply` carries it out, now or later */
  losesTransactionResponse: ((transaction: Extract<Effect, { type: 'compareAndSwap' }>, apply: () => void) => boolean) | null =
    null;
  /** commands that were lost arrive after so long all the same; null: never */
  lateCommandDelayMs: (() => number) | null = null;
  /** true if the two can't reach each other */
  isPartitioned: (a: string, b: string) => boolean = () => false;
  /** true if what this controller sends doesn't reach the machine, though its heartbeats arrive */
  losesControllerMessages: (controller: string, machine: string) => boolean = () => false;
  /** true if direct commands to it are lost, while its heartbeats are answered */
  losesCommands: (controller: string, machine: string) => boolean = () => false;
  /** true if no connection to the machine can be opened: a direct command never leaves */
  refusesCommands: (controller: string, machine: string) => boolean = () => false;
  /** true if the controller drops what it decided to send, since it was late itself */
  withholdsCommands: (controller: string, machine: string) => boolean = () => false;
  /** true if what the first controller tells the second is lost, though not the other way round */
  losesPeerMessages: (from: string, to: string) => boolean = () => false;
  /** true if it comes late */
  delaysPeerMessages: (from: string, to: string) => boolean = () => false;
  /** true if the machine's answers to commands, which it carries out, can't be read */
  garblesCommandResponses: (controller: string, machine: string) => boolean = () => false;
  /** true if the machine reaches no controller, though direct commands reach it */
  losesHeartbeats: (machine: string) => boolean = () => false;
  /** sees what controllers log */
  onLog: ((controller: string, effect: Extract<Effect, { type: 'log' }>) => void) | null = null;
  /** sees every message between controllers as it leaves */
  onPeerMessage: ((bytes: Uint8Array) => void) | null = null;
  /** sees every heartbeat as it leaves, to deliver copies late */
  onHeartbeat: ((heartbeat: Heartbeat) => void) | null = null;
  /** how long the answer to a transaction takes, once it is carried out */
  transactionResponseMs: (controller: string) => number = () => 10;
  /** the cloud has machines left: they are up so long after they were rented */
  bootTimeMs: (() => number) | null = null;
  private provisionedCount = 0;
  /** heartbeats that controllers forwarded whole */
  forwardedHeartbeats = 0;
  /** bytes of statuses between controllers, and how many were sent */
  statusBytes = 0;
  statuses = 0;
  /** changes sent to the state service, by the kind of key */
  readonly changes = new Map<string, number>();
  /** readings of the state service that were asked for, and commands with something in them */
  readBarriers = 0;
  commands = 0;
  /** lists that were asked of the cloud */
  listRequests = 0;
  /** sees the commands of each message to a worker */
  onCommands: ((commands: Command[]) => void) | null = null;
  /** what was asked of the cloud, which has nothing left */
  readonly provisioningRequests: { type: string; spot: boolean; at: number }[] = [];
  /** the most probes that any controller had under way at once */
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

  /** Starts another process with the name of a controller that runs. */
  startDuplicate(name: string): SimulatedController {
    const second = new SimulatedController(this, name);
    // An incarnation of its own.
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

  /** Machines of the cloud, up after a while; null: it has none. */
  provision(type: string, zone: string, spot: boolean, count: number): string[] | null {
    if (!this.bootTimeMs || this.isCloudDown) return null;
    const names = Array.from({ length: count }, () => `r${this.provisionedCount++}`);
    for (const name of names) this.runAt(this.now + this.bootTimeMs(), () => void this.addMachine(name, type, zone, spot));
    return names;
  }

  /** What the cloud lists: in this simulation only what it rented out itself. */
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
    this.note(`${name} is given back`);
  }

  run(seconds: number): void {
    const end = this.now + seconds * 1000;
    while (this.now < end) {
      this.now += 100;
      const due = this.queue.filter((scheduled) => scheduled.at <= this.now).sort((a, b) => a.at - b.at);
      this.queue = this.queue.filter((scheduled) => scheduled.at > this.now);
      for (const scheduled of due) scheduled.run();
      // After an outage all leases have their full time again.
      if (this.isStateServiceDown) for (const lease of this.stateService.leases.values()) lease.until = this.now + lease.ttl;
      else this.stateService.expire(this.now);
      for (const worker of this.workers) worker.tick();
      for (const node of this.controllers) node.tick();
      this.rules.checkStep();
    }
  }

  /** Runs until the condition holds; fails if it doesn't within the time. */
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
    this.note(`user told ${status} for ${spec.id}`);
  }

  cancel(id: string, at = this.controllers.find((node) => node.up) as SimulatedController): void {
    let answer = '';
    at.cancel(id, (_code, body) => {
      answer = String(body.status ?? body.error);
    });
    this.runUntil(`${id} cancelled`, () => answer !== '', 6);
    this.rules.recordAnswer(id, answer);
    this.note(`user told ${answer} for ${id}`);
  }

  /** What a user is told: status code and state. */
  queryStatus(id: string, at = this.controllers.find((node) => node.up) as SimulatedController): string {
    let answer = '';
    at.queryStatus(id, (code, body) => {
      answer = code === 200 ? String(body.status) : String(code);
    });
    this.runUntil(`${id} answered`, () => answer !== '', 6);
    this.rules.recordAnswer(id, answer);
    return answer;
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

  /** All tasks of the job are done. */
  allTasksDone(id: string): boolean {
    const spec = this.specs.get(id);
    if (!spec) return false;
    const done = Array.from({ length: spec.tasks }, (_, index) => this.finished.has(`${id}/${index}`));
    // A gang completes together: if one task is done, all are.
    return spec.shape === 'gang' ? done.some((isDone) => isDone) : done.every((isDone) => isDone);
  }

  /** Runs until all machines are assigned and have answered; the trace begins anew. */
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

/** A settled cluster with this many small machines, in both zones by turns. */
export function smallCluster(machines: number): SimulatedCluster {
  const cluster = new SimulatedCluster();
  for (let index = 0; index < machines; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  return cluster;
}

const firstUpController = (cluster: SimulatedCluster) => cluster.controllers.find((node) => node.up);

/** The shard that the job belongs to, as any controller sees it; -1: none knows the job. */
export const shardOf = (cluster: SimulatedCluster, id: string): number =>
  firstUpController(cluster)?.controller.clusterState.jobs.get(id)?.shard ?? -1;

/** The controller that holds the shard, as any controller sees it; empty: none. */
export const holderOf = (cluster: SimulatedCluster, shard: number | 'lead'): string =>
  firstUpController(cluster)?.controller.clusterState.leaseOf(shard)?.holder.controller ?? '';

/**
 * Compares what happened with the trace kept under test/traces, which is there to be read.
 * UPDATE_TRACES=1 writes it anew: look at what changed before committing it.
 */
export function assertGoldenTrace(cluster: SimulatedCluster, name: string): void {
  const path = `test/traces/${name}.txt`;
  const text = `${cluster.trace.join('\n')}\n`;
  if (process.env.UPDATE_TRACES === '1') {
    mkdirSync('test/traces', { recursive: true });
    writeFileSync(path, text);
  }
  assert.equal(text, readFileSync(path, 'utf8'), `differs from ${path}`);
}
