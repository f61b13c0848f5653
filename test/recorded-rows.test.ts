// Stored rows of this version and of the production version are decoded, and encoded to the same values.

import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import {
  encodeAcceptedJob,
  encodeCancelledJob,
  encodeDoneJob,
  ProgressLayout,
  packBits,
  parseJobPart,
  parseJobRecord,
  stateSizeLimits,
} from '@archpost/controller';
import type { JobSpec } from '@archpost/protocol';
import {
  loadRows,
  newController,
  type Row,
  summarizeClusterState,
  type Tune,
  warnedKeys,
} from './recorded-support/controller-reader.js';
import type { RecordedDay } from './recorded-support/day-recording.js';
import { JOB_STATES } from './recorded-support/record-kinds.js';
import { assertAsRecorded, production } from './recorded-support/recorded-data.js';
import { days, daysByName } from './recorded-support/recorded-days.js';
import { DAYS, withAnnouncedValueKib } from './recorded-support/simulated-days.js';
import { settings } from './simulation/index.js';

test('rows of the production version are read without a warning, and to the recorded state', () => {
  const controller = newController();
  loadRows(controller, production.rows);
  assert.deepEqual(warnedKeys(controller), []);
  assertAsRecorded('cluster-state-of-production', summarizeClusterState(controller), 2);
});

/** Decodes the value of a job's record and returns the result of encoding it again. */
function reencode(key: string, value: unknown): unknown {
  const decoded = parseJobRecord(value);
  if (decoded.state === 'cancelled') return encodeCancelledJob(key, { ...(value as object), s: 0 }, 100_000);
  if (decoded.state === 'done') return encodeDoneJob(decoded.submittedAt, decoded.tasks, decoded.endedAt ?? Number.NaN);
  const encoded = encodeAcceptedJob(
    key,
    { spec: decoded.spec as JobSpec, awaits: decoded.awaits ?? [], submittedAt: decoded.submittedAt },
    100_000,
  );
  assert.deepEqual(encoded?.parts, []);
  return encoded?.record;
}

test('records of jobs without parts are decoded and encoded to the same JSON text', () => {
  const rows = [...days.flatMap((day) => day.rows), ...production.rows].filter((row) => row.key.startsWith('a/j/'));
  const states = new Set<string>();
  for (const { key, value } of rows) {
    const record = value as { s: number; e?: number; x?: unknown };
    if (record.x !== undefined) continue;
    states.add(JOB_STATES[record.s] as string);
    // The production version doesn't store when a job was done.
    if (record.s === 1 && record.e === undefined) {
      assert.equal(parseJobRecord(value).state, 'done');
      assert.equal(parseJobRecord(value).endedAt, null);
    } else assert.equal(JSON.stringify(reencode(key, value)), JSON.stringify(value), key);
  }
  assert.deepEqual([...states].sort(), ['accepted', 'cancelled', 'done']);
});

test('a record of a job with dependencies is decoded and encoded to the same JSON text', () => {
  const changes = days.flatMap((day) => day.changes.examples['a/j/ accepted, awaits others'] ?? []);
  assert.ok(changes.length > 0);
  for (const text of changes) {
    const { put, value } = JSON.parse(text) as { put: string; value: unknown };
    assert.equal(JSON.stringify(reencode(put, value)), JSON.stringify(value));
  }
});

test('a record whose lists are in parts is decoded with its parts, and encoded to the same record and parts', () => {
  const rows = (daysByName['lists of jobs in parts'] as RecordedDay).rows;
  const { maxWriteBytes } = stateSizeLimits(withAnnouncedValueKib(2)(settings('n0')).state);
  let compared = 0;
  for (const { key, value } of rows.filter((row) => row.key.startsWith('a/j/'))) {
    const decoded = parseJobRecord(value);
    if (decoded.state !== 'live' || decoded.parts === null) continue;
    const spec = decoded.spec as JobSpec;
    const { group, count } = decoded.parts;
    const stored = Array.from(
      { length: count },
      (_, index) => rows.find((row) => row.key === `a/x/${spec.id}/${group}/${index}`)?.value,
    );
    const parts = stored.map(parseJobPart);
    const types = [...(spec.machineTypes ?? []), ...parts.flatMap((part) => part.types)];
    const awaits = [...(decoded.awaits ?? []), ...parts.flatMap((part) => part.awaits)];
    const encoded = encodeAcceptedJob(
      key,
      { spec: { ...spec, machineTypes: types }, awaits, submittedAt: decoded.submittedAt },
      maxWriteBytes,
    );
    assert.equal(JSON.stringify(encoded), JSON.stringify({ record: value, parts: stored, group }));
    compared++;
  }
  assert.ok(compared > 0);
});

test('progress, in whole chunks and in parts, is decoded and encoded to the same digits', () => {
  let compared = 0;
  const compare = (rows: Row[], tune: Tune) => {
    const { state } = tune(settings('n0'));
    const layout = new ProgressLayout(state.valueKib, stateSizeLimits(state).maxWriteBytes);
    for (const { key, value } of rows.filter((row) => row.key.startsWith('a/p/'))) {
      const name = key.slice(key.lastIndexOf('/') + 1);
      const from = layout.firstTask(name) as number;
      const to = from + 4 * String(value).length;
      const done = new Uint8Array(to);
      for (const task of layout.parse(name, value)) done[task] = 1;
      assert.equal(packBits(done, from, to), value, key);
      compared++;
    }
  };
  for (const [name, { tune }] of Object.entries(DAYS))
    compare((daysByName[name] as RecordedDay).rows, tune ?? ((settings) => settings));
  compare(production.rows, (settings) => settings);
  assert.ok(compared >= 4, `${compared}`);
});

test('tasks are laid out over the same progress keys for each limit and number of tasks', () => {
  const layouts = [0.25, 1, 2, 8, 16, 256].flatMap((valueKb) =>
    [valueKb, 2, 0.3].map((changeKb) => {
      const layout = new ProgressLayout(valueKb, changeKb * 1024 - 64);
      const parts = [1, 4, 513, 9000, 70_000].map((tasks) => layout.parts(tasks));
      const digest = createHash('sha256').update(JSON.stringify(parts)).digest('hex');
      return { valueKb, changeKb, names: parts.map((list) => `${list.length}: ${list.at(-1)?.name}`), sha256: digest };
    }),
  );
  assertAsRecorded('progress-layouts', layouts, 1);
});
