// The state service's limits, which may fall without notice: sizes stay within both, and the rate follows refusals.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Controller,
  type ControllerSettings,
  encodeAcceptedJob,
  encodeCancelledJob,
  encodedBytes,
  encodeJobSpec,
  encodeStatus,
  fitStoredStatus,
  ProgressLayout,
  packBits,
  parseJobPart,
  parseJobRecord,
  parseStatus,
  Replica,
  StateWriter,
  stateSizeLimits,
  WritePriority,
  WriteRateLimit,
} from '@archpost/controller';
import type { JobSpec, MachineType, PeerStatus, StoredKey } from '@archpost/protocol';
import {
  holderOf,
  job,
  SimulatedCluster,
  type SimulatedController,
  STATUS,
  settings,
  shardOf,
  TYPES,
} from './simulation/index.js';

const NEXT = { valueKib: 2, writesPerTransaction: 4, writesPerS: 45 };

const announced = (settings: ControllerSettings): ControllerSettings => ({
  ...settings,
  state: { ...settings.state, valueKib: 16, next: NEXT },
  policy: { ...settings.policy, holdSpareCapacity: false },
});

function clusterWithAnnouncedLimits(machines: number): SimulatedCluster {
  const cluster = new SimulatedCluster(undefined, announced);
  for (let index = 0; index < machines; index++) cluster.machine(`m${index}`, 'small', index % 2 === 0 ? 'east' : 'west');
  cluster.runUntilSettled();
  return cluster;
}

const fall = (cluster: SimulatedCluster) => {
  cluster.stateService.limits = {
    valueBytes: NEXT.valueKib * 1024,
    writesPerTransaction: NEXT.writesPerTransaction,
    writesPerS: NEXT.writesPerS,
  };
};

test('the sizes in use fit the present limits and the announced ones; what is not announced stays', () => {
  const { state } = announced({ state: { requestsPerS: 100, writesPerS: 60, writesPerTransaction: 12 } } as ControllerSettings);
  assert.deepEqual(stateSizeLimits(state), { maxWriteBytes: 2 * 1024 - 64, writesPerTransaction: 4 });
  assert.deepEqual(stateSizeLimits({ ...state, next: null }), { maxWriteBytes: 16 * 1024 - 64, writesPerTransaction: 12 });
  assert.deepEqual(stateSizeLimits({ ...state, next: { writesPerS: 5 } }), {
    maxWriteBytes: 16 * 1024 - 64,
    writesPerTransaction: 12,
  });
});

test('the rate of changes falls to the announced one at a refusal, and rises again while there is none', () => {
  const rate = new WriteRateLimit({
    requestsPerS: 100,
    writesPerS: 60,
    valueKib: 8,
    writesPerTransaction: 12,
    next: { writesPerS: 45 },
  });
  assert.equal(rate.perSecond(0), 60);
  rate.recordRefusal(1000);
  assert.equal(rate.perSecond(1000), 45);
  const later = rate.perSecond(16_000);
  assert.ok(later > 45 && later < 60);
  assert.equal(rate.perSecond(1_000_000), 60);
  rate.recordRefusal(1_000_000);
  assert.equal(rate.perSecond(1_000_000), 45);
  const steady = new WriteRateLimit({ requestsPerS: 100, writesPerS: 60, valueKib: 8, writesPerTransaction: 12, next: null });
  steady.recordRefusal(0);
  assert.equal(steady.perSecond(0), 60);
});

test('a change that is too large, its key included, is not sent, is told once, and holds nothing else back', () => {
  const sent: string[] = [];
  const told: string[] = [];
  const outcomes: string[] = [];
  const writer = new StateWriter(
    { writesPerS: 50, writesPerTransaction: 4, maxWriteBytes: 100 },
    {
      replica: new Replica(() => {}, assert.ifError),
      emit: (effect) => {
        if (effect.type === 'compareAndSwap')
          sent.push(...effect.writes.map((write) => ('put' in write ? write.put : write.del)));
      },
      leaseId: () => null,
      afterBarrier: (now, run) => run(now),
      onLeaseLost: () => {},
      onTooLarge: (key, bytes) => told.push(`${key} ${bytes}`),
    },
  );
  const add = (key: string, value: string) =>
    writer.add({
      key,
      value: () => value,
      expectedRevision: 0,
      priority: WritePriority.assignment,
      onOutcome: (outcome) => outcomes.push(`${key} ${outcome}`),
    });
  add('a/long', 'é'.repeat(50));
  add(`a/${'k'.repeat(95)}`, 'ab');
  add('a/fits', 'x'.repeat(92));
  writer.flush(0);
  add('a/long', 'é'.repeat(50));
  writer.flush(100);
  assert.deepEqual(sent, ['a/fits']);
  assert.deepEqual(told, ['a/long 108', `a/${'k'.repeat(95)} 101`]);
  assert.deepEqual(outcomes, ['a/long dropped', `a/${'k'.repeat(95)} dropped`, 'a/long dropped']);
});

test('a status that is stored for the leader, the images of a machine and the machine types fit a value', () => {
  const machines = Array.from({ length: 60 }, (_, index) => ({
    name: `n-${String(index).padStart(6, '0')}`,
    freeCpus: 4,
    freeGpus: 0,
    freeMemory: 16,
    tasks: 0,
    protectedPriority: -1,
    idleS: 10,
    services: 0,
  }));
  const demand = {
    cpus: 2,
    gpus: 0,
    memory: 4,
    types: ['small'],
    zone: 'east',
    spot: false,
    priority: 1,
    withinQuota: true,
    count: 9,
    gang: false,
    waitS: 10,
    slackS: 5,
    excludedZones: [],
  };
  const whole: PeerStatus = {
    ...STATUS,
    shards: [{ shard: 0, machines, demands: Array.from({ length: 32 }, () => demand) }],
    runningJobs: [{ job: 'run-a', count: 1, done: 0, failed: 0 }],
    runningJobsComplete: true,
    unassignedMachines: Array.from({ length: 30 }, (_, index) => ({
      machine: `m${index}`,
      address: 'x',
      type: 'small',
      zone: 'east',
      spot: false,
    })),
    unchangedHeartbeats: Array.from({ length: 200 }, (_, index) => ({
      machine: `m${index}`,
      agentEpoch: 1,
      sequence: 2,
      forwardedSequence: 2,
    })),
  };
  const limit = 2 * 1024 - 64;
  const status = fitStoredStatus('a/s/n0', whole, limit);
  assert.ok(encodedBytes('a/s/n0', encodeStatus(status)) <= limit);
  assert.ok((status.shards[0]?.demands.length ?? 0) > 0, 'waiting work is told above all');
  assert.deepEqual(parseStatus(encodeStatus(status)), status);

  const c = clusterWithAnnouncedLimits(2);
  const { clusterState } = (c.controllers[0] as SimulatedController).controller;
  const machine = clusterState.machines.get('m0');
  assert.ok(machine);
  for (let index = 0; index < 30; index++)
    machine.images.set(clusterState.imageNames.intern(`image-${index}-${'x'.repeat(100)}`), 1);
  const images = clusterState.imagesToStore(machine);
  assert.ok(encodedBytes('a/c/m0', images) <= limit);
  assert.equal(images.at(-1)?.[0].startsWith('image-29'), true, 'the last used are kept');
});

// A start while the cloud's interface is down knows the machine types by what is stored.
test('machine types that outgrow a value are stored in parts, and known to a start once all parts are', () => {
  const types = Array.from({ length: 20 }, (_, index) => ({
    ...(TYPES[0] as MachineType),
    name: `type-${index}-${'x'.repeat(60)}`,
  }));
  const s = announced(settings('n0', ['n0']));
  const first = new Controller(s, 'first');
  first.receiveSnapshot([], 1, 0);
  first.takeEffects();
  first.receiveMachineTypes(types, 0);
  first.tick(100);
  const rows: StoredKey[] = [];
  for (let round = 0; round < 20; round++) {
    first.tick(round * 1000);
    for (const effect of first.takeEffects()) {
      if (effect.type !== 'compareAndSwap') continue;
      for (const write of effect.writes)
        if ('put' in write) rows.push({ key: write.put, value: write.value, revision: rows.length + 2 });
      first.receiveCompareAndSwapOutcome(effect.id, { kind: 'ok', revision: rows.length + 1 }, round * 1000);
    }
  }
  const parts = rows.filter((row) => row.key.startsWith('a/types'));
  assert.equal(parts.length, 20);
  for (const row of parts) assert.ok(encodedBytes(row.key, row.value) <= 2 * 1024 - 64);
  const some = new Controller(s, 'some');
  some.receiveSnapshot(parts.slice(1), 50, 0);
  assert.equal(some.clusterState.machineTypesKnown, false, 'a job must not be refused by half a list');
  const all = new Controller(s, 'all');
  all.receiveSnapshot(parts, 50, 0);
  assert.equal(all.clusterState.machineTypesKnown, true);
  assert.equal(all.clusterState.machineTypes.length, 20);
});

// Bits that were stored by whole chunks, which another version does, and in parts have to be united.
test('progress of 100,000 tasks is laid out within a value, and each task is found in one part', () => {
  const layout = new ProgressLayout(16, 2 * 1024 - 64);
  const tasks = 100_000;
  const parts = layout.parts(tasks);
  let next = 0;
  for (const part of parts) {
    assert.equal(part.from, next);
    assert.equal(layout.firstTask(part.name), part.from);
    assert.ok(!/^\d+$/.test(part.name), 'the name of a whole chunk belongs to other versions');
    const digits = packBits(new Uint8Array(tasks).fill(1), part.from, part.to);
    assert.ok(encodedBytes(`a/p/run-${'x'.repeat(64)}/${part.name}`, digits) <= 2 * 1024 - 64);
    next = part.to;
  }
  assert.equal(next, tasks);
  assert.deepEqual([...layout.parse('0.125', '8001')], [4099, 4108]);
  for (const digits of ['8g', 8, null]) assert.throws(() => layout.parse('0', digits));
  assert.throws(() => layout.parse('odd', 'ff'));
  // What fits one value is stored as ever.
  assert.deepEqual(layout.parts(400), [{ name: '0', from: 0, to: 400 }]);
  assert.deepEqual(
    new ProgressLayout(16, 16 * 1024 - 64).parts(40_000).map((part) => part.name),
    ['0', '1'],
  );
  for (const name of ['', 'x', '-1', '1e3', '0.5.1']) assert.equal(layout.firstTask(name), null);
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

test('after the fall a job with long lists is accepted and runs, over a change of its holder', () => {
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
test('what is told of waiting work names all machine types that its parts hold', () => {
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
test('after the fall large records of before can still be completed and cancelled', () => {
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

// A 429 costs neither a lease nor a share nor an acceptance, and no storm of repeats follows it.
test('while changes are refused for their rate, shares stay, submissions are accepted and repeats stay few', () => {
  const c = clusterWithAnnouncedLimits(8);
  c.stateService.limits = { valueBytes: 2048, writesPerTransaction: 4, writesPerS: NEXT.writesPerS };
  const before = c.controllers.map((node) => node.controller.clusterState.leaseOf(0)?.revision);
  const ids = Array.from({ length: 400 }, (_, index) => `run-${index}`);
  ids.forEach((id, index) => {
    c.specs.set(id, job(id, { cpus: 0.2, memory: 0.2, estimatedRunS: 3 }));
    const ask = () =>
      c.controllers[index % 3]?.submit(c.specs.get(id) as JobSpec, (status) => {
        if (status === 503) c.at(c.now + 1000, ask);
      });
    c.at(c.now + index * 20, ask);
  });
  c.runUntil('all done', () => ids.every((id) => c.allTasksDone(id)), 120);
  assert.deepEqual(
    c.controllers.map((node) => node.controller.clusterState.leaseOf(0)?.revision),
    before,
  );
  assert.ok(c.stateService.limited < 30, `${c.stateService.limited} refusals`);
  assert.equal(c.stateService.tooLarge, 0);
});
