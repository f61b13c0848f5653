// Lists and progress that outgrow a value of the state service are stored in parts.

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
import { clusterWithAnnouncedLimits, NEXT } from './scenarios/limit-scenarios.js';
import { holderOf, job, SimulatedCluster, type SimulatedController, shardOf } from './simulation/index.js';

// Until parts were stored, a long list of machine types was refused by the same answer, though the job could run:
// limits.test.ts has that list accepted. What is refused now is a job whose names alone outgrow a value.
test('a job too large for a value of the state service is refused, and costs nobody else anything', () => {
  // Control characters take six bytes each in the form in which sizes are counted.
  const name = '\u0001'.repeat(120);
  const team = { name, cpus: 0, maxCpus: 0, gpus: 8, maxGpus: 16 };
  const cluster = new SimulatedCluster(undefined, (settings) => ({
    ...settings,
    teams: [...settings.teams, team],
    state: { ...settings.state, valueKib: 2 },
  }));
  for (let index = 0; index < 6; index++) cluster.machine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  let said = 0;
  cluster.controllers[0]?.submit(job('run-huge', { jobClass: name, image: name, team: name }), (status) => {
    said = status;
  });
  cluster.run(1);
  assert.equal(said, 400);
  const before = cluster.controllers.map((node) => node.controller.clusterState.leaseOf(0)?.revision);
  cluster.submit(job('run-after', { estimatedRunS: 2 }));
  cluster.runUntil('done', () => cluster.finished.has('run-after/0'), 20);
  assert.deepEqual(
    cluster.controllers.map((node) => node.controller.clusterState.leaseOf(0)?.revision),
    before,
  );
});

test('long lists are stored in parts, which together say what the user did; a cancelled record is short', () => {
  const awaits = Array.from({ length: 900 }, (_, index) => `run-${String(index).padStart(6, '0')}`);
  const types = Array.from({ length: 64 }, (_, index) => `type-${index}-${'é'.repeat(40)}`);
  const spec = job('run-long', { machineTypes: types });
  const limit = 2 * 1024 - 64;
  const encoded = encodeAcceptedJob('a/j/run-long', spec, awaits, 5, limit);
  assert.ok(encoded);
  assert.ok(encodedBytes('a/j/run-long', encoded.record) <= limit);
  const key = `a/x/run-${'x'.repeat(64)}/${encoded.group}/99`;
  for (const part of encoded.parts) assert.ok(encodedBytes(key, part) <= limit);
  const head = parseJobRecord(encoded.record);
  const parts = encoded.parts.map(parseJobPart);
  assert.equal(head.parts?.count, parts.length);
  assert.deepEqual([...(head.spec?.machineTypes ?? []), ...parts.flatMap((part) => part.types)], types);
  assert.deepEqual([...(head.awaits ?? []), ...parts.flatMap((part) => part.awaits)], awaits);
  // A version that knows no parts allows less, never more: the list is never empty, which it would take for none.
  assert.ok((head.spec?.machineTypes?.length ?? 0) > 0);
  const again = encodeAcceptedJob('a/j/run-long', spec, awaits, 99, limit);
  assert.equal(again?.group, encoded.group, 'a repeated submission finds its parts');
  const old = { s: 0, t: 5, sp: encodeJobSpec(spec) };
  const cancelled = encodeCancelledJob('a/j/run-long', old, limit);
  assert.ok(encodedBytes('a/j/run-long', cancelled) <= limit);
  assert.equal(parseJobRecord(cancelled).state, 'cancelled');
  assert.equal(parseJobRecord(cancelled).spec?.cpus, spec.cpus);
});

const fall = (cluster: SimulatedCluster) => {
  cluster.stateService.limits = {
    valueBytes: NEXT.valueKib * 1024,
    writesPerTransaction: NEXT.writesPerTransaction,
    writesPerS: NEXT.writesPerS,
  };
};

test('after the limits fall a job with long lists is accepted and runs, over a change of its holder', () => {
  const c = clusterWithAnnouncedLimits(6);
  fall(c);
  const before = Array.from({ length: 200 }, (_, index) => `run-${String(index).padStart(20, '0')}`);
  for (const id of before) c.submit(job(id, { estimatedRunS: 1, cpus: 0.1, memory: 0.1 }));
  const types = Array.from({ length: 64 }, (_, index) => `none-${index}-${'x'.repeat(60)}`);
  const spec = job('run-long', { machineTypes: [...types.slice(1), 'small'], estimatedRunS: 5 });
  // An acceptance that fails after its parts were stored costs no second copy of them.
  c.losesTransactionAnswer = (e) => e.writes.some((write) => 'put' in write && write.put === 'a/j/run-long');
  c.specs.set(spec.id, spec);
  c.awaits.set(spec.id, before);
  let status = 0;
  (c.controllers[0] as SimulatedController).submit(spec, (code) => {
    status = code;
  });
  c.runUntil('answered', () => status !== 0, 6);
  assert.equal(status, 503);
  const parts = () => [...c.stateService.keys.keys()].filter((key) => key.startsWith('a/x/run-long/')).length;
  const stored = parts();
  assert.ok(stored > 0);
  c.losesTransactionAnswer = null;
  const written = c.changes.get('x');
  c.submit(spec, c.controllers[1], before);
  assert.equal(parts(), stored);
  assert.equal(c.changes.get('x'), written);
  c.controller(holderOf(c, shardOf(c, 'run-long'))).crash();
  c.runUntil('it runs', () => c.allTasksDone('run-long'), 120);
  assert.equal(c.stateService.tooLarge, 0);
});

// Too early would be a start by a list that is not whole yet.
test('a job starts only once all parts of its record are read', () => {
  const c = clusterWithAnnouncedLimits(4);
  const put = (key: string, value: unknown) =>
    c.stateService.compareAndSwap({ type: 'compareAndSwap', id: 0, conditions: [], writes: [{ put: key, value }] }, c.now);
  const spec = job('run-parts', { machineTypes: ['small'], estimatedRunS: 2 });
  c.specs.set(spec.id, spec);
  put('a/j/run-parts', { s: 0, t: 0, sp: encodeJobSpec(spec), x: { k: 'group', n: 2 } });
  for (const part of [0, 1]) {
    c.run(3);
    assert.equal(c.queryStatus('run-parts'), 'queued');
    assert.equal(c.machinesRunning('run-parts').length, 0);
    put(`a/x/run-parts/group/${part}`, { ty: [], aw: [] });
  }
  c.runUntil('it runs', () => c.allTasksDone('run-parts'), 20);
});

// The leader rents by what is told: told half a list, it would rent nothing, or the wrong thing.
test("the demand of waiting work names all machine types that its record's parts hold", () => {
  const c = clusterWithAnnouncedLimits(0);
  const put = (key: string, value: unknown) =>
    c.stateService.compareAndSwap({ type: 'compareAndSwap', id: 0, conditions: [], writes: [{ put: key, value }] }, c.now);
  const spec = job('run-parts', { machineTypes: ['none'], gpus: 1 });
  c.specs.set(spec.id, spec);
  put('a/x/run-parts/group/0', { ty: ['big'] });
  put('a/j/run-parts', { s: 0, t: 0, sp: encodeJobSpec(spec), x: { k: 'group', n: 1 } });
  c.run(2);
  const owner = c.controller(holderOf(c, 0)).controller;
  assert.deepEqual(owner.shardController.shardSummary(0, c.now).demands[0]?.types, ['none', 'big']);
  assert.equal(owner.clusterState.gpuDemandByType.size, 1);
});

// Larger records of before stay as they are: completed, cancelled and handed over without being written again.
test('after the limits fall larger records of before can still be completed and cancelled', () => {
  const c = clusterWithAnnouncedLimits(6);
  const types = ['small', ...Array.from({ length: 63 }, (_, index) => `none-${index}-${'x'.repeat(60)}`)];
  const large = (id: string) => {
    const spec = job(id, { machineTypes: types, estimatedRunS: 10 });
    c.specs.set(id, spec);
    c.stateService.compareAndSwap(
      {
        type: 'compareAndSwap',
        id: 0,
        conditions: [],
        writes: [{ put: `a/j/${id}`, value: { s: 0, t: 0, sp: encodeJobSpec(spec) } }],
      },
      c.now,
    );
  };
  large('run-a');
  large('run-b');
  fall(c);
  c.runUntil('both run', () => c.runningTasks('run-a') + c.runningTasks('run-b') === 2, 20);
  c.cancel('run-b', c.controllers[2]);
  c.runUntil('done', () => c.allTasksDone('run-a') && c.machinesRunning('run-b').length === 0, 40);
  c.run(3);
  for (const node of c.controllers) {
    assert.equal(c.queryStatus('run-a', node), 'done');
    assert.equal(c.queryStatus('run-b', node), 'aborted');
  }
  assert.equal(c.stateService.tooLarge, 0);
});

test('progress stored in whole chunks and in parts is united, and what is done does not run again', () => {
  const c = clusterWithAnnouncedLimits(6);
  const spec = job('run-many', { tasks: 9000, cpus: 0.01, memory: 0.001, estimatedRunS: 5 });
  const done = new Uint8Array(9000).fill(1, 0, 8000);
  const whole = packBits(done, 0, 9000);
  c.specs.set(spec.id, spec);
  const put = (key: string, value: unknown) =>
    c.stateService.compareAndSwap({ type: 'compareAndSwap', id: 0, conditions: [], writes: [{ put: key, value }] }, c.now);
  put('a/p/run-many/0', whole);
  put('a/p/run-many/0.25', packBits(new Uint8Array(9000).fill(1), 8192, 9000));
  put('a/j/run-many', { s: 0, t: 0, sp: encodeJobSpec(spec) });
  for (let index = 0; index < 9000; index++) if (done[index] || index >= 8192) c.finished.add(`run-many/${index}`);
  fall(c);
  c.runUntil('the rest is done', () => c.allTasksDone('run-many'), 120);
  assert.equal(c.trace.filter((line) => line.includes('starts run-many/')).length, 192);
  assert.equal(c.stateService.tooLarge, 0);
  c.run(5);
  assert.equal(c.queryStatus('run-many'), 'done');
});
