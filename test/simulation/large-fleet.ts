/**
 * Operational scenarios for thousands of machines and any number of controllers, at the ratios of the users' larger sites.
 * Every rule that is observable from workers and users is checked at each step of simulated time.
 */
import assert from 'node:assert/strict';
import type { ControllerSettings } from '@archpost/controller';
import type { JobSpec } from '@archpost/protocol';
import { type ControllerVersion, job, SimulatedCluster, type SimulatedController, type SimulatedWorker } from './index.js';

const TEAMS = ['red', 'blue', 'green', 'pink', 'gold', 'grey', 'teal'];

/** For each machine: writes and requests to the state service per second, sockets, and cores of all controllers together. */
const WRITES_PER_MACHINE = 0.2;
const REQUESTS_PER_MACHINE = 0.5;
const SOCKETS_PER_MACHINE = 2;
const CORES_PER_MACHINE = 0.0048;

/** Number of machines per machine with GPUs, of replicas per service, and of machines per service. */
const MACHINES_PER_GPU_MACHINE = 15;
const REPLICAS_PER_SERVICE = 4;
const MACHINES_PER_SERVICE = 3;

/** Submissions per simulation step of 0.1 s. */
const SUBMISSIONS_PER_STEP = 20;

const CONTROLLER_DOWN_S = 3;

const STATUS_PROPAGATION_S = 5;

/** The size of the fleet, and the version that its controllers run. */
export interface LargeFleetOptions {
  machines: number;
  controllers: number;
  version?: ControllerVersion;
}

/** A large cluster with its services, and the scenarios that run on it. */
export class LargeFleet {
  readonly cluster: SimulatedCluster;
  private readonly services: string[] = [];
  /** names of the workers that the scenario killed: their machines may be released */
  private readonly lostNames = new Set<string>();

  constructor(private readonly options: LargeFleetOptions) {
    const names = Array.from({ length: options.controllers }, (_, index) => `n${index}`);
    this.cluster = new SimulatedCluster(names, (settings) => this.tune(settings));
    if (options.version) for (const node of this.cluster.controllers) node.version = options.version;
    if (options.version) for (const node of this.cluster.controllers) node.restart();
    for (let index = 0; index < options.machines; index++)
      this.cluster.addMachine(
        `m${100_000 + index}`,
        index % MACHINES_PER_GPU_MACHINE === 0 ? 'big' : 'small',
        index % 2 === 0 ? 'east' : 'west',
      );
  }

  private tune(settings: ControllerSettings): ControllerSettings {
    const { machines, controllers } = this.options;
    const writesPerS = Math.max(20, WRITES_PER_MACHINE * machines);
    return {
      ...settings,
      teams: TEAMS.map((name) => ({ name, cpus: 0, maxCpus: 0, gpus: machines / 10, maxGpus: machines / 3 })),
      cpuShare: (CORES_PER_MACHINE * machines) / controllers,
      maxSockets: Math.ceil(SOCKETS_PER_MACHINE * machines) + 200,
      state: {
        ...settings.state,
        requestsPerS: Math.max(100, REQUESTS_PER_MACHINE * machines),
        writesPerS,
        writesPerTransaction: 24,
      },
    };
  }

  private get liveWorkers(): SimulatedWorker[] {
    return this.cluster.workers.filter((worker) => !worker.dead);
  }

  /** Returns the number of live machines that the lease holder of their shard has verified. */
  verifiedCount(): number {
    return this.liveWorkers.filter((worker) => this.cluster.controllers.some((node) => isVerifiedByHolder(node, worker))).length;
  }

  /** Runs from an empty state service until all machines are assigned and verified. Returns the seconds that this takes. */
  firstStart(): number {
    return this.runUntilAllVerified('the first start', 60 + this.options.machines / 20);
  }

  private runUntilAllVerified(what: string, seconds: number): number {
    const { cluster } = this;
    const from = cluster.now;
    cluster.runUntil(`${what}: all machines verified`, () => this.verifiedCount() === this.liveWorkers.length, seconds);
    return (cluster.now - from) / 1000;
  }

  /** Submits the services, round robin at all controllers. Returns the seconds until all replicas run. */
  startServices(): number {
    const { cluster } = this;
    const from = cluster.now;
    const count = Math.floor(this.options.machines / MACHINES_PER_SERVICE);
    for (let index = 0; index < count; index++) {
      const id = `run-s${index}`;
      this.services.push(id);
      this.submit(
        job(id, {
          team: TEAMS[index % TEAMS.length],
          shape: 'service',
          tasks: REPLICAS_PER_SERVICE,
          priority: 3,
          jobClass: 'serve',
          spread: true,
        }),
        index,
      );
      if (index % SUBMISSIONS_PER_STEP === SUBMISSIONS_PER_STEP - 1) cluster.run(0.1);
    }
    this.runUntilServicesRun('all replicas run', 120);
    return (cluster.now - from) / 1000;
  }

  private submit(spec: JobSpec, at: number): void {
    const { cluster } = this;
    const up = cluster.controllers.filter((node) => node.up);
    cluster.specs.set(spec.id, spec);
    (up[at % up.length] as SimulatedController).submit(spec, (status) => {
      if (status !== 201 && status !== 200) cluster.runAt(cluster.now + 1000, () => this.submit(spec, at + 1));
    });
  }

  /** Returns the number of running service tasks. */
  runningReplicaCount(): number {
    let count = 0;
    for (const worker of this.liveWorkers)
      for (const task of worker.tasks.values()) if (task.state === 'running' && task.job.startsWith('run-s')) count++;
    return count;
  }

  runUntilServicesRun(what: string, seconds: number): void {
    this.cluster.runUntil(what, () => this.runningReplicaCount() === this.services.length * REPLICAS_PER_SERVICE, seconds);
  }

  /** Crashes and restarts one controller. Returns the seconds from the crash until all machines are verified. */
  crashOne(index: number): number {
    const { cluster } = this;
    const node = cluster.controllers[index] as SimulatedController;
    const from = cluster.now;
    node.crash();
    cluster.run(CONTROLLER_DOWN_S);
    node.restart();
    cluster.run(0.1);
    this.runUntilAllVerified('a crash', 90);
    return (cluster.now - from) / 1000;
  }

  /** Crashes and restarts all controllers at once. Returns the seconds from the restart until all machines are verified. */
  crashAll(): number {
    const { cluster } = this;
    for (const node of cluster.controllers) node.crash();
    cluster.run(CONTROLLER_DOWN_S);
    for (const node of cluster.controllers) node.restart();
    cluster.run(0.1);
    return this.runUntilAllVerified('a crash of all', 120);
  }

  /** Kills every third machine at once. Returns the seconds until none of them is assigned. */
  killThird(): number {
    const { cluster } = this;
    const from = cluster.now;
    const lostWorkers = this.liveWorkers.filter((_worker, index) => index % 3 === 1);
    for (const worker of lostWorkers) {
      this.lostNames.add(worker.name);
      worker.dead = true;
      worker.tasks.clear();
    }
    const isAnyAssigned = () =>
      cluster.controllers.some((node) => lostWorkers.some((worker) => node.controller.clusterState.machines.has(worker.name)));
    cluster.runUntil('no lost machine is assigned', () => !isAnyAssigned(), 120);
    return (cluster.now - from) / 1000;
  }

  /**
   * Cancels many arrays while the leader crashes. Returns the seconds from the first request until the last task is gone.
   * The rule checker enforces the time limit of each cancellation.
   */
  cancelDuringLeaderCrash(arrays: number): number {
    const { cluster } = this;
    const ids = Array.from({ length: arrays }, (_, index) => `run-c${index}`);
    ids.forEach((id, index) => {
      this.submit(job(id, { team: TEAMS[index % TEAMS.length], tasks: 4, cpus: 0.5, memory: 0.5, estimatedRunS: 10_000 }), index);
    });
    const runningCount = () =>
      this.liveWorkers.reduce((count, worker) => count + [...worker.tasks.values()].filter(isCancelledArray).length, 0);
    cluster.runUntil('the arrays run', () => runningCount() >= 2 * arrays, 90);
    const from = cluster.now;
    const confirmed = new Set<string>();
    ids.forEach((id, index) => {
      cluster.runAt(cluster.now + 100 + 5 * index, () => this.cancel(id, index, confirmed));
    });
    cluster.run(1);
    const leader = cluster.controllers.find((node) => node.controller.leader.isLeading) as SimulatedController;
    leader.crash();
    cluster.runAt(cluster.now + CONTROLLER_DOWN_S * 1000, () => leader.restart());
    cluster.runUntil('all cancellations confirmed', () => confirmed.size === arrays, 90);
    cluster.runUntil('no cancelled task is left', () => runningCount() === 0, 60);
    return (cluster.now - from) / 1000;
  }

  /** Cancels the job as a user: retries at the next controller until a response confirms it. */
  private cancel(id: string, at: number, confirmed: Set<string>): void {
    const { cluster } = this;
    const up = cluster.controllers.filter((node) => node.up);
    const node = up[at % up.length];
    let isConfirmed = false;
    node?.cancel(id, (status, body) => {
      isConfirmed = status === 200;
      if (!isConfirmed) return;
      confirmed.add(id);
      cluster.rules.recordReportedStatus(id, String(body.status));
    });
    cluster.runAt(cluster.now + 2000, () => {
      if (!isConfirmed && !confirmed.has(id)) this.cancel(id, at + 1, confirmed);
    });
  }

  /** Restarts the controllers one after another. Returns the seconds until the last one is ready. */
  rollingRestart(): number {
    const { cluster } = this;
    const from = cluster.now;
    for (const node of cluster.controllers) {
      node.crash();
      cluster.run(CONTROLLER_DOWN_S);
      node.restart();
      cluster.runUntil(`${node.name} is ready`, () => node.controller.isReady, 30);
    }
    const seconds = (cluster.now - from) / 1000;
    this.runUntilAllVerified('a roll', 90);
    return seconds;
  }

  /** Checks that no reachable machine was released, and that every controller reports a sample of the services as running. */
  check(): void {
    const wronglyReleased = this.cluster.workers.filter((worker) => worker.dead && !this.lostNames.has(worker.name));
    assert.deepEqual(
      wronglyReleased.map((worker) => worker.name),
      [],
      'reachable machines that were released',
    );
    // Controllers report their running jobs to each other every few seconds, also to restarted controllers.
    this.cluster.run(STATUS_PROPAGATION_S);
    const sample = this.services.filter((_, index) => index % Math.ceil(this.services.length / 10) === 0);
    for (const node of this.cluster.controllers)
      for (const id of sample) assert.equal(this.cluster.queryStatus(id, node), 'running');
  }
}

function isVerifiedByHolder(node: SimulatedController, worker: SimulatedWorker): boolean {
  const machine = node.controller.clusterState.machines.get(worker.name);
  return node.up && machine?.tenure.isVerified === true && node.controller.shardController.heldShards.has(machine.shard);
}

function isCancelledArray(task: { job: string; state: string }): boolean {
  return task.job.startsWith('run-c') && task.state !== 'exited';
}
