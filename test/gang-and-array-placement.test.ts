// Placement: gangs are placed in the smallest domain that holds them, tasks of arrays run once, zone constraints hold.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type FreeResources, Job, Machine, placeGang } from '@archpost/controller';
import { job, smallCluster, TYPES } from './simulation/index.js';

test('each task of an array runs once, and every controller reports the array as done', () => {
  const cluster = smallCluster(6);
  cluster.submit(job('run-a', { tasks: 5, estimatedRunS: 4 }));
  cluster.runUntil('done', () => cluster.finished.size === 5, 40);
  cluster.run(3);
  for (const node of cluster.controllers) assert.equal(cluster.queryStatus('run-a', node), 'done');
  const starts = cluster.trace.filter((line) => line.includes('starts run-a'));
  assert.equal(starts.length, 5);
});

test('an array that must be in one zone loses machines: its remaining tasks stay in that zone', () => {
  const cluster = smallCluster(8);
  cluster.submit(job('run-z', { tasks: 8, oneZone: true, estimatedRunS: 20 }));
  cluster.runUntil('running', () => cluster.runningTasks('run-z') >= 4);
  const zone = cluster.worker(cluster.machinesRunning('run-z')[0] as string)?.zone;
  for (const name of cluster.machinesRunning('run-z').slice(0, 2)) {
    const worker = cluster.worker(name);
    if (!worker) continue;
    worker.dead = true;
    worker.tasks.clear();
  }
  // The other zone has free resources all the time; the simulation rule `wrong_place` is checked at each start.
  cluster.runUntil('done', () => cluster.queryStatus('run-z') === 'done', 180);
  for (const line of cluster.trace.filter((x) => x.includes('starts run-z')))
    assert.equal(cluster.worker(line.trim().split(' ')[1] as string)?.zone, zone);
});

function freeMachine(name: string, type: number, zone: number): FreeResources {
  const capacity = TYPES[type];
  assert.ok(capacity);
  const machine = new Machine({ name, address: '', typeIndex: type, zoneIndex: zone, spot: false, capacity });
  return { machine, cpus: capacity.cpus, gpus: capacity.gpus, memory: capacity.memory };
}

test('a gang is placed in the finest topology layer that can hold it, and there in the smallest sufficient domain', () => {
  // Zone 0 has three small machines, zone 1 two, and one big one.
  const candidates = [
    freeMachine('a', 0, 0),
    freeMachine('b', 0, 0),
    freeMachine('c', 0, 0),
    freeMachine('d', 0, 1),
    freeMachine('e', 0, 1),
    freeMachine('f', 1, 1),
  ];
  const place = (tasks: number, oneZone = false) => {
    const spec = job('run-g', { shape: 'gang', tasks, cpus: 4, oneZone });
    const gang = new Job({ spec, teamIndex: 0, shard: 0, typeIndices: null, zoneIndex: -1, imageIndex: 0 });
    return placeGang(gang, tasks, candidates, () => 0)?.map((machine) => machine.name) ?? null;
  };
  assert.deepEqual(place(1), ['f'], 'one machine is the smallest domain');
  assert.deepEqual(place(12), new Array(12).fill('f'));
  assert.deepEqual(place(14)?.sort(), [...new Array(12).fill('f'), 'd', 'e'].sort(), 'one zone is preferred to all zones');
  assert.equal(place(17)?.length, 17, 'all zones if no single zone suffices');
  assert.equal(place(17, true), null, 'never across zones if the job must be in one zone');
});
