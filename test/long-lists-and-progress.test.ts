// Lists and progress that exceed the value size limit of the state service are stored in parts.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  encodeAcceptedJob,
  encodeCancelledJob,
  encodedBytes,
  encodeJobSpec,
  packBits,
  parseJobPart,
  parseJobRecord,
} from '@archpost/controller';
import { ANNOUNCED_LIMITS, clusterWithAnnouncedLimits } from './scenarios/limit-scenarios.js';
import { holderOf, job, SimulatedCluster, type SimulatedController, shardOf } from './simulation/index.js';

// Before records had parts, a job with a long list of machine types was refused too, though it could run; a test below verifies
// that it is accepted now. A job is refused only if its names alone exceed the value size limit.
test('a job whose record exceeds the value size limit is refused, and other jobs are not affected', () => {
  // Each control character takes six bytes in the encoding by which sizes are counted.
  const name = '\u0001'.repeat(120);
  const team = { name, cpus: 0, maxCpus: 0, gpus: 8, maxGpus: 16 };
  const cluster = new SimulatedCluster(undefined, (settings) => ({
    ...settings,
    teams: [...settings.teams, team],
    state: { ...settings.state, valueKib: 2 },
  }));
  for (let index = 0; index < 6; index++) cluster.addMachine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  let statusCode = 0;
  cluster.controllers[0]?.submit(job('run-huge', { jobClass: name, image: name, team: name }), (status) => {
    statusCode = status;
  });
  cluster.run(1);
  assert.equal(statusCode, 400);
  const leasesBefore = cluster.controllers.map((node) => node.controller.clusterState.leaseOf(0)?.revision);
  cluster.submit(job('run-after', { estimatedRunS: 2 }));
  cluster.runUntil('done', () => cluster.finished.has('run-after/0'), 20);
  assert.deepEqual(
    cluster.controllers.map((node) => node.controller.clusterState.leaseOf(0)?.revision),
    leasesBefore,
  );
});

test('long lists are stored in parts that together hold all their entries; the record of a cancelled job is short', () => {
  const awaits = Array.from({ length: 900 }, (_, index) => `run-${String(index).padStart(6, '0')}`);
  const types = Array.from({ length: 64 }, (_, index) => `type-${index}-${'é'.repeat(40)}`);
  const spec = job('run-long', { machineTypes: types });
  const limit = 2 * 1024 - 64;
  const encoded = encodeAcceptedJob('a/j/run-long', { spec, awaits, submittedAt: 5 }, limit);
  assert.ok(encoded);
  assert.ok(encodedBytes('a/j/run-long', encoded.record) <= limit);
  const key = `a/x/run-${'x'.repeat(64)}/${encoded.group}/99`;
  for (const part of encoded.parts) assert.ok(encodedBytes(key, part) <= limit);
  const head = parseJobRecord(encoded.record);
  const parts = encoded.parts.map(parseJobPart);
  assert.equal(head.parts?.count, parts.length);
  assert.deepEqual([...(head.spec?.machineTypes ?? []), ...parts.flatMap((part) => part.types)], types);
  assert.deepEqual([...(head.awaits ?? []), ...parts.flatMap((part) => part.awaits)], awaits);
  // A version that doesn't know parts reads only the list in the record, so it may allow fewer machine types, but never more:
  // that list is never empty, since an empty one means all types.
  assert.ok((head.spec?.machineTypes?.length ?? 0) > 0);
  const repeated = encodeAcceptedJob('a/j/run-long', { spec, awaits, submittedAt: 99 }, limit);
  assert.equal(repeated?.group, encoded.group, 'a repeated submission uses the same parts');
  const storedRecord = { s: 0, t: 5, sp: encodeJobSpec(spec) };
  const cancelled = encodeCancelledJob('a/j/run-long', storedRecord, limit);
  assert.ok(encodedBytes('a/j/run-long', cancelled) <= limit);
  assert.equal(parseJobRecord(cancelled).state, 'cancelled');
  assert.equal(parseJobRecord(cancelled).spec?.cpus, spec.cpus);
});

const lowerLimits = (cluster: SimulatedCluster) => {
  cluster.stateService.limits = {
    valueBytes: ANNOUNCED_LIMITS.valueKib * 1024,
    writesPerTransaction: ANNOUNCED_LIMITS.writesPerTransaction,
    writesPerS: ANNOUNCED_LIMITS.writesPerS,
  };
};

test('after the limits are lowered a job with long lists is accepted and runs, also when its holder crashes', () => {
  const cluster = clusterWithAnnouncedLimits(6);
  lowerLimits(cluster);
  const dependencyIds = Array.from({ length: 200 }, (_, index) => `run-${String(index).padStart(20, '0')}`);
  for (const id of dependencyIds) cluster.submit(job(id, { estimatedRunS: 1, cpus: 0.1, memory: 0.1 }));
  const types = Array.from({ length: 64 }, (_, index) => `none-${index}-${'x'.repeat(60)}`);
  const spec = job('run-long', { machineTypes: [...types.slice(1), 'small'], estimatedRunS: 5 });
  // If the acceptance fails after its parts were stored, a repeated submission stores no second copy of them.
  cluster.losesTransactionResponse = (e) => e.writes.some((write) => 'put' in write && write.put === 'a/j/run-long');
  cluster.specs.set(spec.id, spec);
  cluster.awaits.set(spec.id, dependencyIds);
  let status = 0;
  (cluster.controllers[0] as SimulatedController).submit(spec, (code) => {
    status = code;
  });
  cluster.runUntil('answered', () => status !== 0, 6);
  assert.equal(status, 503);
  const partCount = () => [...cluster.stateService.keys.keys()].filter((key) => key.startsWith('a/x/run-long/')).length;
  const storedParts = partCount();
  assert.ok(storedParts > 0);
  cluster.losesTransactionResponse = null;
  const changesBefore = cluster.changes.get('x');
  cluster.submit(spec, cluster.controllers[1], dependencyIds);
  assert.equal(partCount(), storedParts);
  assert.equal(cluster.changes.get('x'), changesBefore);
  cluster.controller(holderOf(cluster, shardOf(cluster, 'run-long'))).crash();
  cluster.runUntil('all its tasks are done', () => cluster.allTasksDone('run-long'), 120);
  assert.equal(cluster.stateService.tooLargeCount, 0);
});

// A start before that would be based on an incomplete list.
test('a job starts only once all parts of its record are read', () => {
  const cluster = clusterWithAnnouncedLimits(4);
  const put = (key: string, value: unknown) =>
    cluster.stateService.compareAndSwap(
      { type: 'compareAndSwap', id: 0, conditions: [], writes: [{ put: key, value }] },
      cluster.now,
    );
  const spec = job('run-parts', { machineTypes: ['small'], estimatedRunS: 2 });
  cluster.specs.set(spec.id, spec);
  put('a/j/run-parts', { s: 0, t: 0, sp: encodeJobSpec(spec), x: { k: 'group', n: 2 } });
  for (const part of [0, 1]) {
    cluster.run(3);
    assert.equal(cluster.queryStatus('run-parts'), 'queued');
    assert.equal(cluster.machinesRunning('run-parts').length, 0);
    put(`a/x/run-parts/group/${part}`, { ty: [], aw: [] });
  }
  cluster.runUntil('all its tasks are done', () => cluster.allTasksDone('run-parts'), 20);
});

// The leader provisions by this demand: with an incomplete list it would provision no machines, or the wrong ones.
test("the demand of a waiting job names all machine types of its record and its record's parts", () => {
  const cluster = clusterWithAnnouncedLimits(0);
  const put = (key: string, value: unknown) =>
    cluster.stateService.compareAndSwap(
      { type: 'compareAndSwap', id: 0, conditions: [], writes: [{ put: key, value }] },
      cluster.now,
    );
  const spec = job('run-parts', { machineTypes: ['none'], gpus: 1 });
  cluster.specs.set(spec.id, spec);
  put('a/x/run-parts/group/0', { ty: ['big'] });
  put('a/j/run-parts', { s: 0, t: 0, sp: encodeJobSpec(spec), x: { k: 'group', n: 1 } });
  cluster.run(2);
  const owner = cluster.controller(holderOf(cluster, 0)).controller;
  assert.deepEqual(owner.shardController.shardSummary(0, cluster.now).demands[0]?.types, ['none', 'big']);
  assert.equal(owner.clusterState.gpuDemandByType.size, 1);
});

// Larger records from before stay as they are: their jobs are completed, cancelled and transferred without a rewrite.
test('after the limits are lowered jobs with larger records can still be completed and cancelled', () => {
  const cluster = clusterWithAnnouncedLimits(6);
  const types = ['small', ...Array.from({ length: 63 }, (_, index) => `none-${index}-${'x'.repeat(60)}`)];
  const storeLargeJob = (id: string) => {
    const spec = job(id, { machineTypes: types, estimatedRunS: 10 });
    cluster.specs.set(id, spec);
    cluster.stateService.compareAndSwap(
      {
        type: 'compareAndSwap',
        id: 0,
        conditions: [],
        writes: [{ put: `a/j/${id}`, value: { s: 0, t: 0, sp: encodeJobSpec(spec) } }],
      },
      cluster.now,
    );
  };
  storeLargeJob('run-a');
  storeLargeJob('run-b');
  lowerLimits(cluster);
  cluster.runUntil('both run', () => cluster.runningTasks('run-a') + cluster.runningTasks('run-b') === 2, 20);
  cluster.cancel('run-b', cluster.controllers[2]);
  cluster.runUntil('done', () => cluster.allTasksDone('run-a') && cluster.machinesRunning('run-b').length === 0, 40);
  cluster.run(3);
  for (const node of cluster.controllers) {
    assert.equal(cluster.queryStatus('run-a', node), 'done');
    assert.equal(cluster.queryStatus('run-b', node), 'aborted');
  }
  assert.equal(cluster.stateService.tooLargeCount, 0);
});

test('progress stored in whole chunks and in parts is merged, and completed tasks do not run again', () => {
  const cluster = clusterWithAnnouncedLimits(6);
  const spec = job('run-many', { tasks: 9000, cpus: 0.01, memory: 0.001, estimatedRunS: 5 });
  const done = new Uint8Array(9000).fill(1, 0, 8000);
  const wholeChunk = packBits(done, 0, 9000);
  cluster.specs.set(spec.id, spec);
  const put = (key: string, value: unknown) =>
    cluster.stateService.compareAndSwap(
      { type: 'compareAndSwap', id: 0, conditions: [], writes: [{ put: key, value }] },
      cluster.now,
    );
  put('a/p/run-many/0', wholeChunk);
  put('a/p/run-many/0.25', packBits(new Uint8Array(9000).fill(1), 8192, 9000));
  put('a/j/run-many', { s: 0, t: 0, sp: encodeJobSpec(spec) });
  for (let index = 0; index < 9000; index++) if (done[index] || index >= 8192) cluster.finished.add(`run-many/${index}`);
  lowerLimits(cluster);
  cluster.runUntil('the rest is done', () => cluster.allTasksDone('run-many'), 120);
  assert.equal(cluster.trace.filter((line) => line.includes('starts run-many/')).length, 192);
  assert.equal(cluster.stateService.tooLargeCount, 0);
  cluster.run(5);
  assert.equal(cluster.queryStatus('run-many'), 'done');
});
