// A seeded random walk: users go on submitting, asking and calling off while troubles meet in pairs, and
// every rule of PROTOCOL that can be seen from workers and users is checked after each step.
import type { ControllerSettings } from '@archpost/controller';
import { type ControllerVersion, SimulatedCluster, type SimulatedController } from '../simulation/index.js';
import { FAULTS, type Fault, FaultInjector } from './faults.js';
import { checkDerivedState } from './invariants.js';
import { Random } from './random.js';
import { SimulatedUsers, type UserOptions } from './users.js';

/** What a walk has beside troubles. */
export interface RandomizedSimulationOptions extends UserOptions {
  /** troubles that may come */
  only?: readonly Fault[];
  /** the version that all controllers run at first; one after another they get the present one */
  from?: ControllerVersion;
  /** limits that the state service has once all controllers are new */
  next?: { valueKib: number; writesPerTransaction: number; writesPerS: number };
  /** machines at the start, instead of a handful */
  machines?: { small: number; big: number };
  /** settings that differ from those of the stand-ins */
  tune?: (settings: ControllerSettings) => ControllerSettings;
  /** inputs that a controller has processor time for in a tenth of a second */
  inputsPerTick?: number;
  /** changes that a watch can still be given, and pages in which all keys are read */
  state?: { changesKept: number; pages: number };
}

/** Questions that a user asks at once when all is over. */
const ASKED_AT_ONCE = 20;

/** From here on, and with so much time between them, controllers get the present version. */
const UPGRADE_AT_MS = 15_000;
const UPGRADE_EACH_MS = 12_000;

/** The limits of the state service fall a while after the last controller got it. */
const LIMITS_FALL_MS = UPGRADE_AT_MS + 4 * UPGRADE_EACH_MS;

/** One walk: its cluster, its users and its troubles. */
export class RandomizedSimulation {
  readonly c: SimulatedCluster;
  readonly users: SimulatedUsers;
  private readonly random: Random;
  private readonly troubles: FaultInjector;
  private readonly only: readonly Fault[];

  constructor(
    seed: number,
    private readonly options: RandomizedSimulationOptions = {},
  ) {
    this.only = options.only ?? FAULTS;
    this.random = new Random(seed);
    this.c = this.makeCluster();
    if (options.from) this.startWith(options.from);
    this.addMachines();
    this.c.runUntilSettled();
    this.users = new SimulatedUsers(this.c, this.random, options, () => this.upgraded);
    this.troubles = new FaultInjector(this.c, this.random, () => this.users.cancelLately());
  }

  private get machines(): { small: number; big: number } {
    return this.options.machines ?? { small: 8, big: 3 };
  }

  private makeCluster(): SimulatedCluster {
    const { next, tune, state, inputsPerTick } = this.options;
    const { small, big } = this.machines;
    const settings = (settings: ControllerSettings): ControllerSettings => ({
      ...settings,
      state: { ...settings.state, next: next ?? null },
      policy: { ...settings.policy, holdSpareCapacity: false, idleS: 60, maxMachines: small + big + 7 },
    });
    const cluster = new SimulatedCluster(undefined, (s) => (tune ? tune(settings(s)) : settings(s)));
    if (state) Object.assign(cluster.stateService, state);
    for (const node of cluster.controllers) node.inputsPerTick = inputsPerTick ?? Number.POSITIVE_INFINITY;
    cluster.bootTimeMs = () => 1000 + 5000 * this.random.next();
    return cluster;
  }

  private addMachines(): void {
    const { small, big } = this.machines;
    for (let index = 0; index < small; index++) this.c.machine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
    for (let index = 0; index < big; index++) this.c.machine(`g${index}`, 'big', index % 2 === 0 ? 'east' : 'west');
  }

  private startWith(old: ControllerVersion): void {
    this.c.controllers.forEach((node, index) => {
      const present = node.version;
      node.version = old;
      node.restart();
      this.c.at(UPGRADE_AT_MS + index * UPGRADE_EACH_MS, () => {
        node.version = present;
        if (node.up) node.crash();
        node.restart();
      });
    });
  }

  /** Nothing new is asked, and no limit falls, before all controllers have the present version. */
  private get upgraded(): boolean {
    return !this.options.from || this.c.controllers.every((node) => node.running !== this.options.from);
  }

  private step(): void {
    this.troubles.step();
    const { next } = this.options;
    if (next && this.upgraded && !this.c.stateService.limits && this.c.now > LIMITS_FALL_MS) {
      this.c.note('the state service lowers its limits');
      this.c.stateService.limits = {
        valueBytes: next.valueKib * 1024,
        writesPerTransaction: next.writesPerTransaction,
        writesPerS: next.writesPerS,
      };
    }
    this.c.run(0.1);
    checkDerivedState(this.c, this.options.from);
  }

  /** Troubles by twos and threes for so long, then peace. */
  run(seconds: number): void {
    const { random, users, troubles } = this;
    const end = this.c.now + seconds * 1000;
    while (this.c.now < end) {
      const s = 2 + 28 * random.next() * random.next();
      const long = random.next() < 0.1 ? 45 : s;
      for (let index = 0; index < 2 + random.below(2); index++) {
        troubles.begin(random.pick(this.only), long);
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
    troubles.end();
    this.peace();
  }

  /** No share without a holder, no machine out of use, no write that waits for ever. */
  private atRest(): void {
    const { c: cluster } = this;
    const odd = (): string[] => {
      const result: string[] = [];
      for (const share of [0, 1, 2, 'lead'] as const)
        if (!cluster.controllers.some((node) => node.controller.shardLeases.mayActUnder(share, cluster.now)))
          result.push(`nobody holds ${share}`);
      for (const worker of cluster.workers) {
        if (worker.dead) continue;
        const used = cluster.controllers.some((node) => {
          const machine = node.controller.clusterState.machines.get(worker.name);
          return (
            machine &&
            node.controller.shardController.heldShards.has(machine.shard) &&
            (machine.tenure.releaseReason !== null ||
              node.controller.shardController.allocations.isSchedulable(machine, cluster.now))
          );
        });
        if (!used) result.push(`${worker.name} is out of use`);
      }
      for (const node of cluster.controllers)
        if (node.controller.writer.length > 0) result.push(`${node.name} has ${node.controller.writer.length} writes waiting`);
      return result;
    };
    // A share may be on its way home, and a machine between two shares.
    for (let index = 0; index < 90 && odd().length > 0; index++) cluster.run(1);
    if (odd().length > 0) this.c.broken(`long after the troubles:\n${odd().join('\n')}`);
  }

  /** Once the troubles are over every job is known everywhere, and what can run has run. */
  private peace(): void {
    const { c: cluster, users } = this;
    for (const [id, told] of users.told) if (!told.accepted) cluster.specs.has(id) && users.asks('submit', id);
    cluster.run(60);
    // Services would run for ever; with them gone there is room for all the rest.
    for (let index = 0; index < 5; index++) {
      for (const [id, told] of users.told)
        if (told.accepted && told.final === null && (told.cancelAsked || cluster.specs.get(id)?.shape === 'service'))
          users.asks('cancel', id);
      cluster.run(2);
    }
    const rest = () =>
      [...users.told].filter(([id, told]) => {
        const spec = cluster.specs.get(id);
        if (!told.accepted || told.final !== null || !spec || users.needsCancelled(id)) return false;
        return !Array.from({ length: spec.tasks }, (_, index) => cluster.finished.has(`${id}/${index}`)).some((x) => x);
      });
    for (let index = 0; index < 30 && rest().length > 0; index++) cluster.run(10);
    const left = rest().map(([id]) => `${id} ${JSON.stringify(cluster.specs.get(id))}`);
    if (left.length > 0) this.c.broken(`still waiting long after the troubles:\n${left.join('\n')}`);
    this.atRest();
    if (cluster.stateService.tooLarge > 0) cluster.broken(`${cluster.stateService.tooLarge} changes were too large`);
    for (const node of cluster.controllers) this.allAnswered(node);
  }

  /** Every accepted job is answered by the controller, a few at a time, and what was cancelled before it is, too. */
  private allAnswered(node: SimulatedController): void {
    const { c: cluster, users } = this;
    const accepted = [...users.told].filter(([, told]) => told.accepted);
    for (let at = 0; at < accepted.length; at += ASKED_AT_ONCE) {
      const some = accepted.slice(at, at + ASKED_AT_ONCE);
      for (const [id, told] of some) {
        told.answeredAt = -1;
        users.asks('poll', id, node);
      }
      for (let index = 0; index < 30 && some.some(([, told]) => told.answeredAt < 0); index++) cluster.run(0.1);
      for (const [id, told] of some) {
        if (told.answeredAt < 0) cluster.broken(`forgotten: ${id} is not answered by ${node.name}`);
        if (users.needsCancelled(id) && told.final !== 'aborted') cluster.broken(`orphaned: ${id} goes on at ${node.name}`);
      }
    }
  }
}
