// Content that the state service never takes: refused before it is stored, and nobody waits for it.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Replica, StateWriter, WritePriority } from '@archpost/controller';
import { pack } from '@archpost/protocol';
import { postBytes } from './loopback/http.js';
import { singleController } from './loopback/single-controller.js';
import { HEARTBEAT, SUBMISSION } from './malformed-support/request-bodies.js';
import { waitForCount } from './scenarios/loopback-fixtures.js';
import { job, type SimulatedCluster, smallCluster, submission } from './simulation/index.js';

/** A surrogate that is not part of a pair. UTF-8 can't encode it. */
const LONE_SURROGATE = '\ud800';

/** Submits the body at a controller and returns the status code of the response, within ten simulated seconds. */
function statusOfSubmission(cluster: SimulatedCluster, body: Record<string, unknown>): number | null {
  const node = cluster.controller('n0');
  const statuses: number[] = [];
  node.submitBody(body, (status) => statuses.push(status));
  cluster.runUntil(`a response to ${String(body.ref)}`, () => statuses.length > 0, 10);
  return statuses[0] ?? null;
}

test('a submission with text that the state service never takes is answered with 400, in every field, and nothing is written', () => {
  const cluster = smallCluster(4);
  const body = submission(job('run-a'));
  const texts = Object.keys(body).filter(
    (field) => typeof body[field] === 'string' || ['builds', 'yard', 'awaits'].includes(field),
  );
  assert.ok(texts.length >= 7);
  for (const [index, field] of texts.entries()) {
    const text = `${body[field] ?? ''}${LONE_SURROGATE}`;
    const malformed = {
      ...body,
      ref: `run-${index}`,
      [field]: field === 'builds' || field === 'awaits' ? ['small', text] : text,
    };
    assert.equal(statusOfSubmission(cluster, malformed), 400, field);
  }
  assert.deepEqual(cluster.stateService.malformedKeys, []);
});

test('an accepted job is not answered with 400 when its submission is repeated with malformed text in an unknown field', () => {
  const cluster = smallCluster(4);
  const body = submission(job('run-a'));
  assert.equal(statusOfSubmission(cluster, body), 201);
  assert.equal(statusOfSubmission(cluster, { ...body, more: LONE_SURROGATE }), 200);
});

test('a submission that the state service refuses for its content is answered with 400, not with 503 for ever', () => {
  const cluster = smallCluster(4);
  // The service may come to take less than the settings say.
  cluster.stateService.limits = { valueBytes: 200, writesPerTransaction: 12, writesPerS: 1000 };
  assert.equal(statusOfSubmission(cluster, submission(job('run-a'))), 400);
});

test('a write that the state service never takes is not sent, and its neighbours share one transaction', () => {
  const sent: string[][] = [];
  const outcomes: string[] = [];
  const writer = new StateWriter(
    { writesPerS: 50, writesPerTransaction: 8, maxWriteBytes: 8192 },
    {
      replica: new Replica(() => {}, assert.ifError),
      emit: (effect) => {
        if (effect.type === 'compareAndSwap') sent.push(effect.writes.map((write) => ('put' in write ? write.put : write.del)));
      },
      leaseId: () => null,
      afterBarrier: (now, run) => run(now),
      onLeaseLost: () => {},
      onRejected: () => {},
    },
  );
  const add = (key: string, value: unknown) =>
    writer.add({
      key,
      value: () => value,
      expectedRevision: 0,
      priority: WritePriority.assignment,
      onOutcome: (outcome) => outcomes.push(`${key} ${outcome}`),
    });
  add('a/1', { text: 'a backslash before u: \\ud800, a pair: \u{1f600}' });
  add('a/2', { list: [{ text: LONE_SURROGATE }] });
  add('a/3', { [`\\\\${LONE_SURROGATE}`]: 1 });
  add('a/a space', 1);
  add(`a/${'ü'.repeat(100)}`, 1);
  add(`a/${LONE_SURROGATE}`, 1);
  add('a/4', 1);
  writer.flush(0);
  assert.deepEqual(sent, [['a/1', 'a/4']]);
  assert.deepEqual(
    outcomes.map((outcome) => outcome.split(' ').at(-1)),
    Array(5).fill('rejected'),
  );
});

test('a heartbeat whose machine can not be stored is answered with 400 and assigned to no shard', async (context) => {
  const setup = await singleController({ machines: 1, memoryMb: 200, sockets: 400 });
  context.after(() => setup.close());
  setup.controller.start();
  await waitForCount('the controller is up', 1, async () => Number(await setup.controller.isUp()));
  for (const [field, text] of [
    ['host', 'n 1'],
    ['host', `n-${LONE_SURROGATE}`],
    ['host', 'ü'.repeat(190)],
    ['address', `1.2.3.4:5${LONE_SURROGATE}`],
    ['build', LONE_SURROGATE],
    ['yard', LONE_SURROGATE],
  ] as const)
    assert.equal(
      await postBytes(setup.publicAddress, '/checkin', pack({ ...HEARTBEAT, [field]: text })),
      400,
      `${field} ${text}`,
    );
});

/** A text field with bytes that are no UTF-8, in place of the text `img`. */
const MALFORMED_TEXTS = ['eda080', '696dff', '69c080', 'e28228', '6d67e2'];

test('a submission with text that is not UTF-8 is answered with 400 by a real process, beside others that are accepted', async (context) => {
  const setup = await singleController({ machines: 1, memoryMb: 200, sockets: 400 });
  context.after(() => setup.close());
  setup.controller.start();
  await waitForCount('the controller is up', 1, async () => Number(await setup.controller.isUp()));
  for (const [index, text] of MALFORMED_TEXTS.entries()) {
    const valid = pack({ ...SUBMISSION, ref: `run-malformed-${index}` });
    const malformed = Buffer.from(valid.toString('hex').replace('a3696d67', `a3${text}`), 'hex');
    assert.notDeepEqual(malformed, valid);
    const answers = await Promise.all([
      postBytes(setup.publicAddress, '/v2/runs', malformed),
      postBytes(setup.publicAddress, '/v2/runs', pack({ ...SUBMISSION, ref: `run-valid-${index}` })),
    ]);
    assert.deepEqual(answers, [400, 201], text);
  }
  assert.deepEqual(setup.state.state.malformedKeys, []);
});

test('refused submissions are counted in the log by what is malformed, at most once in ten seconds and without their content', () => {
  const cluster = smallCluster(4);
  const counts: unknown[] = [];
  cluster.onLog = (_controller, { message, fields }) => {
    if (message === 'malformed submissions refused') counts.push(fields?.counts);
  };
  const body = submission(job('run-a'));
  for (let index = 0; index < 3; index++) statusOfSubmission(cluster, { ...body, builds: ['small', LONE_SURROGATE] });
  statusOfSubmission(cluster, { ...body, ref: LONE_SURROGATE });
  cluster.run(25);
  const total = new Map<string, number>();
  for (const each of counts)
    for (const [part, count] of Object.entries(each as object)) total.set(part, (total.get(part) ?? 0) + count);
  assert.deepEqual([...total].sort(), [
    ['field builds', 3],
    ['field ref', 1],
  ]);
  assert.ok(counts.length <= 3);
});
