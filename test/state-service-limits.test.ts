// Limits of the state service, which may be lowered without notice: the size of values and the rate of writes.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  Controller,
  type ControllerSettings,
  encodedBytes,
  encodeStatus,
  fitStoredStatus,
  ProgressLayout,
  packBits,
  parseStatus,
  Replica,
  StateWriter,
  stateSizeLimits,
  WritePriority,
  WriteRateLimit,
} from '@archpost/controller';
import type { JobSpec, MachineType, PeerStatus, StoredKey } from '@archpost/protocol';
import { ANNOUNCED_LIMITS, clusterWithAnnouncedLimits, withAnnouncedLimits } from './scenarios/limit-scenarios.js';
import { job, type SimulatedController, STATUS, settings, TYPES } from './simulation/index.js';

test('the size limits in use fit the present limits and the announced ones; limits that are not announced stay', () => {
  const { state } = withAnnouncedLimits({
    state: { requestsPerS: 100, writesPerS: 60, writesPerTransaction: 12 },
  } as ControllerSettings);
  assert.deepEqual(stateSizeLimits(state), { maxWriteBytes: 2 * 1024 - 64, writesPerTransaction: 4 });
  assert.deepEqual(stateSizeLimits({ ...state, next: null }), { maxWriteBytes: 16 * 1024 - 64, writesPerTransaction: 12 });
  assert.deepEqual(stateSizeLimits({ ...state, next: { writesPerS: 5 } }), {
    maxWriteBytes: 16 * 1024 - 64,
    writesPerTransaction: 12,
  });
});

test('the write rate falls to the announced rate at a refusal, and rises again without refusals', () => {
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

test('a write that is too large, its key included, is not sent, is reported once, and delays no other write', () => {
  const sent: string[] = [];
  const reported: string[] = [];
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
      onRejected: (key, bytes) => reported.push(`${key} ${bytes}`),
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
  assert.deepEqual(reported, ['a/long 108', `a/${'k'.repeat(95)} 101`]);
  assert.deepEqual(outcomes, ['a/long rejected', `a/${'k'.repeat(95)} rejected`, 'a/long rejected']);
});

test('a status that is stored for the leader and the images of a machine fit a value', () => {
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
  const fullStatus: PeerStatus = {
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
  const status = fitStoredStatus('a/s/n0', fullStatus, limit);
  assert.ok(encodedBytes('a/s/n0', encodeStatus(status)) <= limit);
  assert.ok((status.shards[0]?.demands.length ?? 0) > 0, 'the demands of waiting tasks are kept');
  assert.deepEqual(parseStatus(encodeStatus(status)), status);

  const cluster = clusterWithAnnouncedLimits(2);
  const { clusterState } = (cluster.controllers[0] as SimulatedController).controller;
  const machine = clusterState.machines.get('m0');
  assert.ok(machine);
  for (let index = 0; index < 30; index++)
    machine.images.set(clusterState.imageNames.intern(`image-${index}-${'x'.repeat(100)}`), 1);
  const images = clusterState.imagesToStore(machine);
  assert.ok(encodedBytes('a/c/m0', images) <= limit);
  assert.equal(images.at(-1)?.[0].startsWith('image-29'), true, 'the last used images are kept');
});

// A controller that starts while the cloud API is down knows the machine types only from stored rows.
test('machine types that exceed a value are stored in parts, and a starting controller knows them once it has all parts', () => {
  const types = Array.from({ length: 20 }, (_, index) => ({
    ...(TYPES[0] as MachineType),
    name: `type-${index}-${'x'.repeat(60)}`,
  }));
  const limitedSettings = withAnnouncedLimits(settings('n0', ['n0']));
  const first = new Controller(limitedSettings, 'first');
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
  const partial = new Controller(limitedSettings, 'some');
  partial.receiveSnapshot(parts.slice(1), 50, 0);
  assert.equal(partial.clusterState.areMachineTypesKnown, false, 'a job must not be refused because of an incomplete list');
  const complete = new Controller(limitedSettings, 'all');
  complete.receiveSnapshot(parts, 50, 0);
  assert.equal(complete.clusterState.areMachineTypesKnown, true);
  assert.equal(complete.clusterState.machineTypes.length, 20);
});

// Progress that another version stored in whole chunks and progress that is stored in parts have to be combined.
test('progress of 100,000 tasks is stored in parts that fit a value, and each task is in one part', () => {
  const layout = new ProgressLayout(16, 2 * 1024 - 64);
  const tasks = 100_000;
  const parts = layout.parts(tasks);
  let next = 0;
  for (const part of parts) {
    assert.equal(part.from, next);
    assert.equal(layout.firstTask(part.name), part.from);
    assert.ok(!/^\d+$/.test(part.name), 'other versions store whole chunks under integer names');
    const digits = packBits(new Uint8Array(tasks).fill(1), part.from, part.to);
    assert.ok(encodedBytes(`a/p/run-${'x'.repeat(64)}/${part.name}`, digits) <= 2 * 1024 - 64);
    next = part.to;
  }
  assert.equal(next, tasks);
  assert.deepEqual([...layout.parse('0.125', '8001')], [4099, 4108]);
  for (const digits of ['8g', 8, null]) assert.throws(() => layout.parse('0', digits));
  assert.throws(() => layout.parse('odd', 'ff'));
  // Progress that fits one value is stored in whole chunks, as before.
  assert.deepEqual(layout.parts(400), [{ name: '0', from: 0, to: 400 }]);
  assert.deepEqual(
    new ProgressLayout(16, 16 * 1024 - 64).parts(40_000).map((part) => part.name),
    ['0', '1'],
  );
  for (const name of ['', 'x', '-1', '1e3', '0.5.1']) assert.equal(layout.firstTask(name), null);
});

// A 429 must not lead to the loss of a lease, a shard or an acceptance, or to a storm of retries.
test('while writes are refused for their rate, shard leases stay, submissions are accepted and retries stay few', () => {
  const cluster = clusterWithAnnouncedLimits(8);
  cluster.stateService.limits = { valueBytes: 2048, writesPerTransaction: 4, writesPerS: ANNOUNCED_LIMITS.writesPerS };
  const before = cluster.controllers.map((node) => node.controller.clusterState.leaseOf(0)?.revision);
  const ids = Array.from({ length: 400 }, (_, index) => `run-${index}`);
  ids.forEach((id, index) => {
    cluster.specs.set(id, job(id, { cpus: 0.2, memory: 0.2, estimatedRunS: 3 }));
    const submit = () =>
      cluster.controllers[index % 3]?.submit(cluster.specs.get(id) as JobSpec, (status) => {
        if (status === 503) cluster.runAt(cluster.now + 1000, submit);
      });
    cluster.runAt(cluster.now + index * 20, submit);
  });
  cluster.runUntil('all done', () => ids.every((id) => cluster.allTasksDone(id)), 120);
  assert.deepEqual(
    cluster.controllers.map((node) => node.controller.clusterState.leaseOf(0)?.revision),
    before,
  );
  assert.ok(cluster.stateService.rateLimitedCount < 30, `${cluster.stateService.rateLimitedCount} refusals`);
  assert.equal(cluster.stateService.tooLargeCount, 0);
});
