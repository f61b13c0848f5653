// Compare-and-swap writes: ordered by priority, invalid ones dropped, and retries recognize their own first copy.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Effect, type QueuedWrite, Replica, StateWriter, WritePriority, WriteQueue } from '@archpost/controller';
import { isLeaseNotFound } from '@archpost/protocol';

test('queued writes are sent by priority and age, and those that become urgent go first', () => {
  const queue = new WriteQueue();
  let isTokenUrgent = false;
  const write = (key: string, writePriority: number, at: number, isUrgent?: () => boolean): QueuedWrite => ({
    key,
    priority: writePriority,
    queuedAt: at,
    value: () => key,
    expectedRevision: 0,
    onOutcome: () => {},
    mayBeApplied: false,
    sendAlone: false,
    sentValue: undefined,
    ...(isUrgent && { isUrgent }),
  });
  queue.add(write('images', WritePriority.images, 0), 0);
  queue.add(write('release', WritePriority.release, 50), 50);
  queue.add(
    write('token', WritePriority.release, 60, () => isTokenUrgent),
    60,
  );
  queue.add(write('grant', WritePriority.assignment, 100), 100);
  queue.add(write('accept', WritePriority.acceptance, 120), 120);
  const order = (now: number) => [...queue.inOrder(now)].map(({ key }) => key);
  assert.deepEqual(order(150), ['accept', 'grant', 'release', 'token', 'images']);
  // After a while a release has the priority of an assignment, and it is older than the waiting assignment.
  assert.deepEqual(order(400), ['accept', 'release', 'token', 'grant', 'images']);
  isTokenUrgent = true;
  assert.deepEqual(order(400), ['token', 'accept', 'release', 'grant', 'images']);
  isTokenUrgent = false;
  assert.deepEqual(order(400), ['accept', 'release', 'token', 'grant', 'images']);
});

test('a write without a response is sent again, and its own first copy is no conflict', () => {
  const replica = new Replica(() => {}, assert.ifError);
  const sent: number[] = [];
  const outcomes: string[] = [];
  const writer = new StateWriter(
    { writesPerS: 10, writesPerTransaction: 4, maxWriteBytes: 8192 },
    {
      replica,
      emit: (effect) => {
        if (effect.type === 'compareAndSwap') sent.push(effect.id);
      },
      leaseId: () => null,
      afterBarrier: (now, run) => run(now),
      onLeaseLost: () => {},
      onRejected: () => {},
    },
  );
  writer.add({
    key: 'a/x',
    value: () => ({ v: 1 }),
    expectedRevision: 0,
    priority: WritePriority.assignment,
    onOutcome: (outcome) => outcomes.push(outcome),
  });
  writer.flush(0);
  writer.handleOutcome(sent[0] as number, { kind: 'unknown' }, 1500);
  writer.flush(2000);
  assert.equal(sent.length, 2);
  // The first copy was applied after all; the second one fails because of it.
  replica.set('a/x', { v: 1 }, 7);
  writer.handleOutcome(sent[1] as number, { kind: 'failed', keys: ['a/x'] }, 2100);
  assert.deepEqual(outcomes, ['ok']);
});

test('cancellations and acceptances do not wait behind a hundred assignments, nor assignments behind acceptances', () => {
  const sent: string[][] = [];
  let now = 0;
  const writer = new StateWriter(
    { writesPerS: 12, writesPerTransaction: 12, maxWriteBytes: 8192 },
    {
      replica: new Replica(() => {}, assert.ifError),
      emit: (effect) => {
        if (effect.type === 'compareAndSwap')
          sent.push(effect.writes.map((write) => ('put' in write ? write.put : write.del).slice(2, 3)));
      },
      leaseId: () => null,
      afterBarrier: (_now, run) => run(now),
      onLeaseLost: () => {},
      onRejected: () => {},
    },
  );
  const add = (kind: string, count: number, writePriority: number) => {
    for (let index = 0; index < count; index++)
      writer.add({
        key: `a/${kind}/${index}`,
        value: () => 1,
        expectedRevision: 0,
        priority: writePriority,
        onOutcome: () => {},
      });
  };
  add('g', 100, WritePriority.assignment);
  now = 500;
  writer.flush(now);
  add('j', 40, WritePriority.acceptance);
  add('c', 1, WritePriority.cancellation);
  now = 1500;
  writer.flush(now);
  const count = (kind: string) => sent[1]?.filter((key) => key === kind).length;
  assert.deepEqual([count('c'), count('j'), count('g')], [1, 6, 5]);
});

function createWriter(lease = () => null as number | null) {
  const replica = new Replica(() => {}, assert.ifError);
  const sent: Extract<Effect, { type: 'compareAndSwap' }>[] = [];
  const lostLeases: number[] = [];
  const stateWriter = new StateWriter(
    { writesPerS: 50, writesPerTransaction: 8, maxWriteBytes: 8192 },
    {
      replica,
      emit: (effect) => effect.type === 'compareAndSwap' && sent.push(effect),
      leaseId: lease,
      afterBarrier: (now, run) => run(now),
      onLeaseLost: () => lostLeases.push(1),
      onRejected: () => {},
    },
  );
  return { stateWriter, replica, sent, lostLeases };
}

test('a retried write sends the same value, and its own first copy is recognized, although the value has changed meanwhile', () => {
  const { stateWriter, replica, sent } = createWriter();
  const outcomes: string[] = [];
  let value = { a: 1, b: 2 };
  stateWriter.add({
    key: 'a/x',
    value: () => value,
    expectedRevision: 0,
    priority: WritePriority.assignment,
    onOutcome: (outcome) => outcomes.push(outcome),
  });
  stateWriter.flush(0);
  value = { a: 9, b: 9 };
  stateWriter.handleOutcome(sent[0]?.id as number, { kind: 'unknown' }, 1500);
  stateWriter.flush(2000);
  assert.deepEqual(sent[1]?.writes, sent[0]?.writes);
  // The service returns a map's fields in an order of its own.
  replica.set('a/x', { b: 2, a: 1 }, 7);
  stateWriter.handleOutcome(sent[1]?.id as number, { kind: 'failed', keys: ['a/x'] }, 2100);
  assert.deepEqual(outcomes, ['ok']);
});

test('an invalid transaction loses no lease and no other write; the refusal of an earlier lease loses no lease either', () => {
  let lease = 5;
  const { stateWriter, sent, lostLeases } = createWriter(() => lease);
  const outcomes: string[] = [];
  const add = (key: string, leased = false) =>
    stateWriter.add({
      key,
      value: () => 1,
      expectedRevision: 0,
      attachedToLease: leased,
      priority: WritePriority.assignment,
      onOutcome: (outcome) => outcomes.push(`${key} ${outcome}`),
    });
  add('a/big');
  add('a/small');
  stateWriter.flush(0);
  stateWriter.handleOutcome(sent[0]?.id as number, { kind: 'invalid' }, 10);
  for (const transaction of sent.slice(1))
    stateWriter.handleOutcome(
      transaction.id,
      transaction.writes.some((write) => 'put' in write && write.put === 'a/big')
        ? { kind: 'invalid' }
        : { kind: 'ok', revision: 3 },
      20,
    );
  assert.deepEqual(outcomes.sort(), ['a/big rejected', 'a/small ok']);
  add('a/h/1', true);
  stateWriter.flush(30);
  lease = 6;
  stateWriter.handleOutcome(sent.at(-1)?.id as number, { kind: 'noLease' }, 40);
  assert.deepEqual(lostLeases, [], 'the present lease is kept');
  add('a/h/2', true);
  stateWriter.flush(50);
  stateWriter.handleOutcome(sent.at(-1)?.id as number, { kind: 'noLease' }, 60);
  assert.deepEqual(lostLeases, [1]);
  assert.ok(isLeaseNotFound({ error: 'no such lease' }) && !isLeaseNotFound({ error: 'value too large' }));
});
