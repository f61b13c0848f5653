// The state service's limits, which may fall without notice: sizes stay within both, and the rate follows refusals.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  ChangeRate,
  type CoreSettings,
  encodeAcceptedJob,
  encodeCancelledJob,
  encodedBytes,
  ProgressLayout,
  packBits,
  parseJobPart,
  parseJobRecord,
  stateSizes,
  unpackBits,
} from '@archpost/core';
import { Cluster, holderOf, job, shareOf } from './stand-ins.js';

const NEXT = { valueKb: 2, txnOps: 4, writeRps: 45 };

const announced = (s: CoreSettings): CoreSettings => ({
  ...s,
  state: { ...s.state, valueKb: 16, next: NEXT },
  policy: { ...s.policy, hold: false },
});

function cluster(machines: number): Cluster {
  const c = new Cluster(undefined, announced);
  for (let i = 0; i < machines; i++) c.machine(`m${i}`, 'small', i % 2 === 0 ? 'east' : 'west');
  c.settle();
  return c;
}

const fall = (c: Cluster) => {
  c.state.limits = { valueBytes: NEXT.valueKb * 1024, txnOps: NEXT.txnOps, writesPerS: NEXT.writeRps };
};

test('the sizes in use fit the present limits and the announced ones; what is not announced stays', () => {
  const { state } = announced({ state: { rps: 100, writeRps: 60, txnOps: 12 } } as CoreSettings);
  assert.deepEqual(stateSizes(state), { changeBytes: 2 * 1024 - 64, txnOps: 4 });
  assert.deepEqual(stateSizes({ ...state, next: null }), { changeBytes: 16 * 1024 - 64, txnOps: 12 });
  assert.deepEqual(stateSizes({ ...state, next: { writeRps: 5 } }), { changeBytes: 16 * 1024 - 64, txnOps: 12 });
});

test('the rate of changes falls to the announced one at a refusal, and rises again while there is none', () => {
  const rate = new ChangeRate({ rps: 100, writeRps: 60, valueKb: 8, txnOps: 12, next: { writeRps: 45 } });
  assert.equal(rate.perSecond(0), 60);
  rate.refused(1000);
  assert.equal(rate.perSecond(1000), 45);
  const later = rate.perSecond(16_000);
  assert.ok(later > 45 && later < 60);
  assert.equal(rate.perSecond(1_000_000), 60);
  rate.refused(1_000_000);
  assert.equal(rate.perSecond(1_000_000), 45);
  const steady = new ChangeRate({ rps: 100, writeRps: 60, valueKb: 8, txnOps: 12, next: null });
  steady.refused(0);
  assert.equal(steady.perSecond(0), 60);
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
  const seen = new Set<number>();
  unpackBits('8001', 4096, (task) => seen.add(task));
  assert.deepEqual([...seen], [4099, 4108]);
  // What fits one value is stored as ever.
  assert.deepEqual(layout.parts(400), [{ name: '0', from: 0, to: 400 }]);
  assert.deepEqual(
    new ProgressLayout(16, 16 * 1024 - 64).parts(40_000).map((part) => part.name),
    ['0', '1'],
  );
  for (const name of ['', 'x', '-1', '1e3', '0.5.1']) assert.equal(layout.firstTask(name), null);
});

test('long lists are stored in parts, which together say what the user did; a cancelled record is short', () => {
  const awaits = Array.from({ length: 900 }, (_, i) => `run-${String(i).padStart(6, '0')}`);
  const types = Array.from({ length: 64 }, (_, i) => `type-${i}-${'é'.repeat(40)}`);
  const spec = job('run-long', { types });
  const limit = 2 * 1024 - 64;
  const encoded = encodeAcceptedJob('a/j/run-long', spec, awaits, 5, limit);
  assert.ok(encoded);
  assert.ok(encodedBytes('a/j/run-long', encoded.record) <= limit);
  const key = `a/x/run-${'x'.repeat(64)}/${encoded.group}/99`;
  for (const part of encoded.parts) assert.ok(encodedBytes(key, part) <= limit);
  const head = parseJobRecord(encoded.record);
  const parts = encoded.parts.map(parseJobPart);
  assert.equal(head.parts?.count, parts.length);
  assert.deepEqual([...(head.spec?.types ?? []), ...parts.flatMap((part) => part.types)], types);
  assert.deepEqual([...(head.awaits ?? []), ...parts.flatMap((part) => part.awaits)], awaits);
  // A version that knows no parts allows less, never more: the list is never empty, which it would take for none.
  assert.ok((head.spec?.types?.length ?? 0) > 0);
  const again = encodeAcceptedJob('a/j/run-long', spec, awaits, 99, limit);
  assert.equal(again?.group, encoded.group, 'a repeated submission finds its parts');
  const old = { s: 0, t: 5, sp: spec };
  const cancelled = encodeCancelledJob('a/j/run-long', old, limit);
  assert.ok(encodedBytes('a/j/run-long', cancelled) <= limit);
  assert.equal(parseJobRecord(cancelled).state, 'cancelled');
  assert.equal(parseJobRecord(cancelled).spec?.cpus, spec.cpus);
});

test('after the fall a job with long lists is accepted and runs, over a change of its holder', () => {
  const c = cluster(6);
  fall(c);
  const before = Array.from({ length: 200 }, (_, i) => `run-${String(i).padStart(20, '0')}`);
  for (const id of before) c.submit(job(id, { estimateS: 1, cpus: 0.1, memory: 0.1 }));
  const types = Array.from({ length: 64 }, (_, i) => `none-${i}-${'x'.repeat(60)}`);
  c.submit(job('run-long', { types: [...types.slice(1), 'small'], estimateS: 5 }), c.nodes[1], before);
  assert.ok([...c.state.keys.keys()].some((key) => key.startsWith('a/x/run-long/')));
  c.node(holderOf(c, shareOf(c, 'run-long'))).crash();
  c.until('it runs', () => c.allDone('run-long'), 120);
  assert.equal(c.state.tooLarge, 0);
});

// Larger records of before stay as they are: completed, cancelled and handed over without being written again.
test('after the fall large records of before can still be completed and cancelled', () => {
  const c = cluster(6);
  const types = ['small', ...Array.from({ length: 63 }, (_, i) => `none-${i}-${'x'.repeat(60)}`)];
  const large = (id: string) => {
    const spec = job(id, { types, estimateS: 10 });
    c.specs.set(id, spec);
    c.state.txn({ t: 'txn', id: 0, guards: [], writes: [{ put: `a/j/${id}`, value: { s: 0, t: 0, sp: spec } }] }, c.now);
  };
  large('run-a');
  large('run-b');
  fall(c);
  c.until('both run', () => c.running('run-a') + c.running('run-b') === 2, 20);
  c.cancel('run-b', c.nodes[2]);
  c.until('done', () => c.allDone('run-a') && c.on('run-b').length === 0, 40);
  c.run(3);
  for (const n of c.nodes) {
    assert.equal(c.ask('run-a', n), 'done');
    assert.equal(c.ask('run-b', n), 'aborted');
  }
  assert.equal(c.state.tooLarge, 0);
});

test('progress stored in whole chunks and in parts is united, and what is done does not run again', () => {
  const c = cluster(6);
  const spec = job('run-many', { tasks: 9000, cpus: 0.01, memory: 0.001, estimateS: 5 });
  const done = new Uint8Array(9000).fill(1, 0, 8000);
  const whole = packBits(done, 0, 9000);
  c.specs.set(spec.id, spec);
  const put = (key: string, value: unknown) => c.state.txn({ t: 'txn', id: 0, guards: [], writes: [{ put: key, value }] }, c.now);
  put('a/p/run-many/0', whole);
  put('a/p/run-many/0.25', packBits(new Uint8Array(9000).fill(1), 8192, 9000));
  put('a/j/run-many', { s: 0, t: 0, sp: spec });
  for (let i = 0; i < 9000; i++) if (done[i] || i >= 8192) c.finished.add(`run-many/${i}`);
  fall(c);
  c.until('the rest is done', () => c.allDone('run-many'), 120);
  assert.equal(c.trace.filter((line) => line.includes('starts run-many/')).length, 192);
  assert.equal(c.state.tooLarge, 0);
  c.run(5);
  assert.equal(c.ask('run-many'), 'done');
});

// A 429 costs neither a lease nor a share nor an acceptance, and no storm of repeats follows it.
test('while changes are refused for their rate, shares stay, submissions are accepted and repeats stay few', () => {
  const c = cluster(8);
  c.state.limits = { valueBytes: 2048, txnOps: 4, writesPerS: 12 };
  const before = c.nodes.map((n) => n.core.table.holder(0)?.stamp);
  for (let i = 0; i < 60; i++) c.submit(job(`run-${i}`, { tasks: 4, cpus: 0.2, memory: 0.2, estimateS: 3 }));
  c.until('all done', () => Array.from({ length: 60 }, (_, i) => c.allDone(`run-${i}`)).every((x) => x), 120);
  assert.deepEqual(
    c.nodes.map((n) => n.core.table.holder(0)?.stamp),
    before,
  );
  assert.ok(c.state.limited < 120, `${c.state.limited} refusals`);
  assert.equal(c.state.tooLarge, 0);
});
