/** Scenarios that together cause every kind of stored change and of message between controllers. */

import assert from 'node:assert/strict';
import { encodeJobSpec } from '@archpost/controller';
import { holderOf, job, type SimulatedCluster, shardOf } from '../simulation/index.js';
import type { Tune } from './controller-reader.js';

/** A scenario and the settings with which it runs. */
export interface Day {
  tune?: Tune;
  run(cluster: SimulatedCluster): void;
}

/** The controllers of a simulated day. */
export const CONTROLLER_NAMES = ['n0', 'n1', 'n2'];

function addMachines(cluster: SimulatedCluster, count: number, type = 'small'): void {
  for (let index = 0; index < count; index++)
    cluster.addMachine(`m${index}`, type, index % 2 === 0 ? 'east' : 'west', index === count - 1);
}

/** Settings with an announced lower size limit, so that long lists and long progress are stored in parts. */
export const withAnnouncedValueKib =
  (valueKib: number): Tune =>
  (settings) => ({ ...settings, state: { ...settings.state, valueKib: 16, next: { valueKib, writesPerTransaction: 4 } } });

function submitEachShape(cluster: SimulatedCluster): void {
  for (const team of ['red', 'blue', 'green']) {
    cluster.submit(job(`run-${team}-array`, { team, tasks: 6, cpus: 0.5, memory: 1, estimatedRunS: 6 }));
    cluster.submit(
      job(`run-${team}-gang`, { team, shape: 'gang', tasks: 2, cpus: 0.5, memory: 1, oneZone: true, estimatedRunS: 8 }),
    );
  }
  cluster.submit(
    job('run-service', { shape: 'service', priority: 3, jobClass: 'serve', tasks: 2, cpus: 0.5, memory: 1, spread: true }),
  );
}

function workAndFaults(cluster: SimulatedCluster): void {
  addMachines(cluster, 6);
  cluster.run(15);
  submitEachShape(cluster);
  cluster.submit(
    job('run-called-off', { tasks: 3, estimatedRunS: 300, machineTypes: ['small'], zone: 'east', deadlineS: 900.5 }),
  );
  cluster.submit(job('run-partly', { tasks: 9, cpus: 4, memory: 1, estimatedRunS: 5, allowsSpot: true }));
  cluster.submit(job('run-next', { estimatedRunS: 3, checkpointIntervalS: 1, checkpointSaveS: 0.5 }), cluster.controllers[1], [
    'run-red-array',
    'run-partly',
  ]);
  // No messages pass between the leader and the other controllers, so they store their statuses for it in the state service.
  const leader = holderOf(cluster, 'lead');
  cluster.isPartitioned = (a, b) =>
    CONTROLLER_NAMES.includes(a) && CONTROLLER_NAMES.includes(b) && (a === leader) !== (b === leader);
  cluster.run(8);
  cluster.cancel('run-called-off');
  cluster.run(14);
  cluster.isPartitioned = () => false;
  cluster.addMachine('late', 'small', 'west');
  cluster.run(3);
  // Lost commands lead to a higher fencing token of their machine.
  cluster.losesCommands = (_node, machine) => machine === 'm1';
  cluster.submit(job('run-lost', { team: 'blue', tasks: 12, cpus: 1, estimatedRunS: 4 }));
  cluster.run(8);
  cluster.losesCommands = () => false;
  const noticed = cluster.worker('m5');
  assert.ok(noticed);
  noticed.preemptionNoticeS = 10;
  cluster.run(15);
  // A hung machine is released, and its stored rows are deleted.
  const hung = cluster.worker('m2');
  assert.ok(hung);
  hung.hung = true;
  cluster.run(20);
  cluster.controller(holderOf(cluster, 0)).crash();
  cluster.run(25);
  for (const node of cluster.controllers) if (!node.up) node.restart();
  cluster.run(30);
}

function movedMachines(cluster: SimulatedCluster): void {
  addMachines(cluster, 6);
  cluster.run(15);
  for (const team of ['red', 'blue', 'green']) {
    cluster.submit(job(`run-${team}`, { team, tasks: 12, cpus: 2, memory: 1, estimatedRunS: 4 }));
    cluster.runUntil('all tasks are done, also on machines of other shards', () => cluster.allTasksDone(`run-${team}`), 90);
  }
  cluster.run(90);
}

function progressInParts(cluster: SimulatedCluster): void {
  addMachines(cluster, 6);
  cluster.runUntilSettled();
  // All but the last 500 tasks are done, and stored as one whole chunk of progress.
  const spec = job('run-large', { tasks: 9000, cpus: 0.5, memory: 0.1, estimatedRunS: 4 });
  cluster.specs.set(spec.id, spec);
  for (let index = 0; index < 8500; index++) cluster.finished.add(`run-large/${index}`);
  putRow(cluster, 'a/p/run-large/0', 'f'.repeat(8500 / 4));
  putRow(cluster, 'a/j/run-large', { s: 0, t: 0, sp: encodeJobSpec(spec) });
  cluster.runUntil('the remaining tasks are done', () => cluster.allTasksDone('run-large'), 200);
  cluster.run(5);
}

function putRow(cluster: SimulatedCluster, key: string, value: unknown): void {
  cluster.stateService.compareAndSwap(
    { type: 'compareAndSwap', id: 0, conditions: [], writes: [{ put: key, value }] },
    cluster.now,
  );
}

function listsInParts(cluster: SimulatedCluster): void {
  addMachines(cluster, 4);
  cluster.runUntilSettled();
  const types = [...Array.from({ length: 63 }, (_, index) => `none-${index}-${'x'.repeat(60)}`), 'small'];
  const first = Array.from({ length: 90 }, (_, index) => `run-${String(index).padStart(20, '0')}`);
  for (const id of first) cluster.submit(job(id, { estimatedRunS: 1, cpus: 0.1, memory: 0.1 }));
  cluster.submit(job('run-types', { machineTypes: types, estimatedRunS: 3 }));
  cluster.submit(job('run-chain', { machineTypes: types, estimatedRunS: 300 }), cluster.controllers[1], first);
  cluster.submit(job('run-off', { machineTypes: types, estimatedRunS: 300 }), cluster.controllers[2], first);
  cluster.cancel('run-off');
  cluster.runUntil('the job with dependencies runs', () => cluster.runningTasks('run-chain') === 1, 120);
  assert.ok(shardOf(cluster, 'run-chain') >= 0);
}

function machineTypesInParts(cluster: SimulatedCluster): void {
  addMachines(cluster, 3);
  cluster.run(20);
}

/** The leader provisions machines, and reports the machine types that are still available. */
function provisionedMachines(cluster: SimulatedCluster): void {
  cluster.bootTimeMs = () => 3000;
  addMachines(cluster, 3);
  cluster.run(20);
  cluster.submit(job('run-rented', { tasks: 12, cpus: 4, memory: 4, estimatedRunS: 20, priority: 2 }));
  cluster.run(40);
  cluster.submit(job('run-gang', { shape: 'gang', tasks: 3, cpus: 4, memory: 1, estimatedRunS: 10, priority: 2 }));
  cluster.run(60);
}

/** The scenarios by the names of their recordings. */
export const DAYS: Record<string, Day> = {
  'work and faults of each kind': { run: workAndFaults },
  'moved and released machines': {
    tune: (settings) => ({ ...settings, policy: { ...settings.policy, holdSpareCapacity: false, idleS: 10, maxMachines: null } }),
    run: movedMachines,
  },
  'provisioned machines': {
    tune: (settings) => ({ ...settings, policy: { ...settings.policy, maxMachines: null } }),
    run: provisionedMachines,
  },
  'progress in parts': { tune: withAnnouncedValueKib(2), run: progressInParts },
  'lists of jobs in parts': { tune: withAnnouncedValueKib(2), run: listsInParts },
  'machine types in parts': { tune: withAnnouncedValueKib(0.3), run: machineTypesInParts },
};
