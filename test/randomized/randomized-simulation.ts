/**
 * A seeded randomized simulation: users keep submitting, querying and cancelling jobs while several faults are active at once.
 * Every rule of PROTOCOL that is observable from workers and users is checked after each step.
 */
import type { ControllerSettings } from '@archpost/controller';
import { type ControllerVersion, SimulatedCluster, type SimulatedController } from '../simulation/index.js';
import { FAULTS, type Fault, FaultInjector } from './faults.js';
import { checkDerivedState } from './invariants.js';
import { Random } from './random.js';
import { SimulatedUsers, type UserOptions } from './users.js';

/** Options of a randomized simulation. */
export interface RandomizedSimulationOptions extends UserOptions {
  /** kinds of faults to inject; all by default */
  faultKinds?: readonly Fault[];
  /** version that all controllers run at first; they are upgraded to the current version one after another */
  initialVersion?: ControllerVersion;
  /** limits of the state service after all controllers are upgraded */
  nextLimits?: { valueKib: number; writesPerTransaction: number; writesPerS: number };
  /** number of machines at the start; 8 small and 3 big ones by default */
  machines?: { small: number; big: number };
  /** changes the settings of the fixtures */
  tune?: (settings: ControllerSettings) => ControllerSettings;
  /** maximum number of inputs that a controller processes per simulation step; unlimited by default */
  inputsPerTick?: number;
  /** whether requests that workers executed arrive again, late and in any order */
  repeatsCommands?: boolean;
  /** whether responses to commands take up to a second */
  hasSlowResponses?: boolean;
  /** length of the change log that a watch can resume from, and pages of a snapshot */
  state?: { changesKept: number; pages: number };
}

/** Number of status queries that are pending at once in the final check. */
const QUERIES_AT_ONCE = 20;

/** Time of the first controller's upgrade, and the interval between upgrades. */
const UPGRADE_AT_MS = 15_000;
const UPGRADE_INTERVAL_MS = 12_000;

/** Earliest time at which the state service lowers its limits, after the last upgrade. */
const LIMITS_CHANGE_AT_MS = UPGRADE_AT_MS + 4 * UPGRADE_INTERVAL_MS;

/** Share of the steps in which an executed request arrives again. */
const REPEATED_STEP_SHARE = 0.5;

/** Longest time of a response to a command, where responses are slow. */
const MAX_RESPONSE_MS = 1000;

/** One run of the simulation: its cluster, users and faults. */
export class RandomizedSimulation {
  readonly cluster: SimulatedCluster;
  readonly users: SimulatedUsers;
  private readonly random: Random;
  private readonly faults: FaultInjector;
  private readonly faultKinds: readonly Fault[];
  /** apart from `random`, so that the same seed brings the same faults with and without repeated commands or slow responses */
  private readonly repeatRandom: Random;
  private readonly responseRandom: Random;

  constructor(
    seed: number,
    private readonly options: RandomizedSimulationOptions = {},
  ) {
    this.faultKinds = options.faultKinds ?? FAULTS;
    this.random = new Random(seed);
    this.repeatRandom = new Random(seed + 1);
    this.responseRandom = new Random(seed + 2);
    this.cluster = this.createCluster();
    if (options.hasSlowResponses) this.cluster.commandResponseMs = () => MAX_RESPONSE_MS * this.responseRandom.next();
    if (options.initialVersion) this.startWithVersion(options.initialVersion);
    this.addMachines();
    this.cluster.runUntilSettled();
    this.users = new SimulatedUsers(this.cluster, this.random, options, () => this.isUpgraded);
    this.faults = new FaultInjector(this.cluster, this.random, () => this.users.cancelRecentJobs());
  }

  private get machines(): { small: number; big: number } {
    return this.options.machines ?? { small: 8, big: 3 };
  }

  private createCluster(): SimulatedCluster {
    const { nextLimits, tune, state, inputsPerTick } = this.options;
    const { small, big } = this.machines;
    const settings = (settings: ControllerSettings): ControllerSettings => ({
      ...settings,
      state: { ...settings.state, next: nextLimits ?? null },
      policy: { ...settings.policy, holdSpareCapacity: false, idleS: 60, maxMachines: small + big + 7 },
    });
    const cluster = new SimulatedCluster(undefined, (defaults) => (tune ? tune(settings(defaults)) : settings(defaults)));
    if (state) Object.assign(cluster.stateService, state);
    for (const node of cluster.controllers) node.inputsPerTick = inputsPerTick ?? Number.POSITIVE_INFINITY;
    cluster.bootTimeMs = () => 1000 + 5000 * this.random.next();
    return cluster;
  }

  private addMachines(): void {
    const { small, big } = this.machines;
    for (let index = 0; index < small; index++) this.cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
    for (let index = 0; index < big; index++) this.cluster.addMachine(`g${index}`, 'big', index % 2 === 0 ? 'east' : 'west');
  }

  private startWithVersion(initialVersion: ControllerVersion): void {
    this.cluster.controllers.forEach((node, index) => {
      const currentVersion = node.version;
      node.version = initialVersion;
      node.restart();
      this.cluster.runAt(UPGRADE_AT_MS + index * UPGRADE_INTERVAL_MS, () => {
        node.version = currentVersion;
        if (node.up) node.crash();
        node.restart();
      });
    });
  }

  /** Whether all controllers run the current version. Users request no new feature, and no limit is lowered, before that. */
  private get isUpgraded(): boolean {
    return (
      !this.options.initialVersion ||
      this.cluster.controllers.every((node) => node.runningVersion !== this.options.initialVersion)
    );
  }

  private step(): void {
    this.faults.step();
    const { nextLimits } = this.options;
    if (nextLimits && this.isUpgraded && !this.cluster.stateService.limits && this.cluster.now > LIMITS_CHANGE_AT_MS) {
      this.cluster.note('the state service lowers its limits');
      this.cluster.stateService.limits = {
        valueBytes: nextLimits.valueKib * 1024,
        writesPerTransaction: nextLimits.writesPerTransaction,
        writesPerS: nextLimits.writesPerS,
      };
    }
    if (this.options.repeatsCommands && this.repeatRandom.next() < REPEATED_STEP_SHARE) this.repeatCommand();
    this.cluster.run(0.1);
    checkDerivedState(this.cluster, this.options.initialVersion);
  }

  /** Delivers a request that a worker executed once more. Fails if a task starts by it. */
  private repeatCommand(): void {
    const worker = this.repeatRandom.pick(this.cluster.workers);
    const before = this.cluster.trace.length;
    // The initial version may forget attempts under the fencing token of their starts.
    worker.repeatExecutedStart(this.repeatRandom.below(Math.max(1, worker.executedStartCount)), this.options.initialVersion);
    const started = this.cluster.trace.slice(before).find((line) => line.includes(' starts '));
    if (started !== undefined) this.cluster.fail(`started by a repeated request: ${started}`);
  }

  /** Injects two or three faults at a time for `seconds`, ends them and checks that the cluster recovers. */
  run(seconds: number): void {
    const { random, users, faults } = this;
    const end = this.cluster.now + seconds * 1000;
    while (this.cluster.now < end) {
      const usualS = 2 + 28 * random.next() * random.next();
      const durationS = random.next() < 0.1 ? 45 : usualS;
      for (let index = 0; index < 2 + random.below(2); index++) {
        faults.begin(random.pick(this.faultKinds), durationS);
        for (let candidate = random.below(25); candidate > 0; candidate--) {
          users.step();
          this.step();
        }
      }
      for (let index = 30 + random.below(250); index > 0; index--) {
        users.step();
        this.step();
      }
    }
    faults.end();
    this.checkRecovery();
  }

  /** Checks that every shard has a lease holder, every machine is usable and no write is queued. */
  private checkSettled(): void {
    const { cluster } = this;
    const findings = (): string[] => {
      const result: string[] = [];
      for (const shard of [0, 1, 2, 'lead'] as const)
        if (!cluster.controllers.some((node) => node.controller.shardLeases.mayActUnder(shard, cluster.now)))
          result.push(`shard ${shard} has no lease holder`);
      for (const worker of cluster.workers) {
        if (worker.dead) continue;
        const isUsable = cluster.controllers.some((node) => {
          const machine = node.controller.clusterState.machines.get(worker.name);
          return (
            machine &&
            node.controller.shardController.heldShards.has(machine.shard) &&
            (machine.tenure.releaseReason !== null ||
              node.controller.shardController.allocations.isSchedulable(machine, cluster.now))
          );
        });
        if (!isUsable) result.push(`${worker.name} is not usable`);
      }
      for (const node of cluster.controllers)
        if (node.controller.writer.queueLength > 0)
          result.push(`${node.name} has ${node.controller.writer.queueLength} queued writes`);
      return result;
    };
    // A shard may be in transfer to its preferred holder, and a machine between two shards.
    for (let index = 0; index < 90 && findings().length > 0; index++) cluster.run(1);
    if (findings().length > 0) this.cluster.fail(`not recovered long after the faults:\n${findings().join('\n')}`);
  }

  /** Checks after the faults that every controller returns a status for every accepted job, and that every job that can run has run. */
  private checkRecovery(): void {
    const { cluster, users } = this;
    for (const [id, tracked] of users.trackedJobs) if (!tracked.accepted) cluster.specs.has(id) && users.request('submit', id);
    cluster.run(60);
    // Services never end; cancelling them frees the capacity that the other jobs need.
    for (let index = 0; index < 5; index++) {
      for (const [id, tracked] of users.trackedJobs)
        if (
          tracked.accepted &&
          tracked.finalStatus === null &&
          (tracked.cancelRequested || cluster.specs.get(id)?.shape === 'service')
        )
          users.request('cancel', id);
      cluster.run(2);
    }
    const unfinished = () =>
      [...users.trackedJobs].filter(([id, tracked]) => {
        const spec = cluster.specs.get(id);
        if (!tracked.accepted || tracked.finalStatus !== null || !spec || users.hasCancelledDependency(id)) return false;
        return !Array.from({ length: spec.tasks }, (_, index) => cluster.finished.has(`${id}/${index}`)).some((isDone) => isDone);
      });
    for (let index = 0; index < 30 && unfinished().length > 0; index++) cluster.run(10);
    const left = unfinished().map(([id]) => `${id} ${JSON.stringify(cluster.specs.get(id))}`);
    if (left.length > 0) this.cluster.fail(`unfinished long after the faults:\n${left.join('\n')}`);
    this.checkSettled();
    if (cluster.stateService.tooLargeCount > 0) cluster.fail(`${cluster.stateService.tooLargeCount} transactions were too large`);
    for (const node of cluster.controllers) this.checkStatusResponses(node);
  }

  /** Checks that the controller returns a status for every accepted job, and reports dependents of cancelled jobs as cancelled. */
  private checkStatusResponses(node: SimulatedController): void {
    const { cluster, users } = this;
    const accepted = [...users.trackedJobs].filter(([, tracked]) => tracked.accepted);
    for (let start = 0; start < accepted.length; start += QUERIES_AT_ONCE) {
      const batch = accepted.slice(start, start + QUERIES_AT_ONCE);
      for (const [id, tracked] of batch) {
        tracked.lastResponseAt = -1;
        users.request('poll', id, node);
      }
      for (let index = 0; index < 30 && batch.some(([, tracked]) => tracked.lastResponseAt < 0); index++) cluster.run(0.1);
      for (const [id, tracked] of batch) {
        if (tracked.lastResponseAt < 0) cluster.fail(`forgotten: ${id} has no response from ${node.name}`);
        if (users.hasCancelledDependency(id) && tracked.finalStatus !== 'aborted')
          cluster.fail(`orphaned: ${id} remains active at ${node.name}`);
      }
    }
  }
}
