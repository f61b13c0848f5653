// Compare-and-swap writes: retried without effect on their own first copy, ordered by priority, refused ones dropped.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Effect, type QueuedWrite, Replica, StateWriter, WritePriority, WriteQueue } from '@archpost/controller';
import { isLeaseNotFound } from '@archpost/protocol';

test('queued writes are sent by priority and age, and those that become urgent go first', () => {
  const queue = new WriteQueue();
  let isPressing = false;
  const write = (key: string, urgency: number, at: number, pressing?: () => boolean): QueuedWrite => ({
    key,
    priority: urgency,
    queuedAt: at,
    value: () => key,
    expectedRevision: 0,
    onOutcome: () => {},
    mayBeApplied: false,
    sendAlone: false,
    sentValue: undefined,
    ...(pressing && { isUrgent: pressing }),
  });
  queue.add(write('images', WritePriority.images, 0), 0);
  queue.add(write('release', WritePriority.release, 50), 50);
  queue.add(
    write('token', WritePriority.release, 60, () => isPressing),
    60,
  );
  queue.add(write('grant', WritePriority.assignment, 100), 100);
  queue.add(write('accept', WritePriority.acceptance, 120), 120);
  const order = (now: number) => [...queue.inOrder(now)].map(({ key }) => key);
  assert.deepEqual(order(150), ['accept', 'grant', 'release', 'token', 'images']);
  // After a while a release counts as a grant, and it is older than the one that waits.
  assert.deepEqual(order(400), ['accept', 'release', 'token', 'grant', 'images']);
  isPressing = true;
  assert.deepEqual(order(400), ['token', 'accept', 'release', 'grant', 'images']);
  isPressing = false;
  assert.deepEqual(order(400), ['accept', 'release', 'token', 'grant', 'images']);
});

test('a write without an answer is sent again, and its own first copy is no conflict', () => {
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
      onTooLarge: () => {},
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
  // The first copy was carried out after all; the second one fails on it.
  replica.set('a/x', { v: 1 }, 7);
  writer.handleOutcome(sent[1] as number, { kind: 'failed', keys: ['a/x'] }, 2100);
  assert.deepEqual(outcomes, ['ok']);
});

test('cancellations and acceptances do not wait for a hundred assignments, nor assignments for acceptances', () => {
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
      onTooLarge: () => {},
    },
  );
  const add = (kind: string, count: number, urgency: number) => {
    for (let index = 0; index < count; index++)
      writer.add({ key: `a/${kind}/${index}`, value: () => 1, expectedRevision: 0, priority: urgency, onOutcome: () => {} });
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

function writer(lease = () => null as number | null) {
  const replica = new Replica(() => {}, assert.ifError);
  const sent: Extract<Effect, { type: 'compareAndSwap' }>[] = [];
  const gone: number[] = [];
  const writer = new StateWriter(
    { writesPerS: 50, writesPerTransaction: 8, maxWriteBytes: 8192 },
    {
      replica,
      emit: (effect) => effect.type === 'compareAndSwap' && sent.push(effect),
      leaseId: lease,
      afterBarrier: (now, run) => run(now),
      onLeaseLost: () => gone.push(1),
      onTooLarge: () => {},
    },
  );
  return { w: writer, replica, sent, gone };
}

test('a retried write is the same write: its own lost first copy is recognized, whatever was meant meanwhile', () => {
  const { w, replica, sent } = writer();
  const outcomes: string[] = [];
  let value = { a: 1, b: 2 };
  w.add({
    key: 'a/x',
    value: () => value,
    expectedRevision: 0,
    priority: WritePriority.assignment,
    onOutcome: (outcome) => outcomes.push(outcome),
  });
  w.flush(0);
  value = { a: 9, b: 9 };
  w.handleOutcome(sent[0]?.id as number, { kind: 'unknown' }, 1500);
  w.flush(2000);
  assert.deepEqual(sent[1]?.writes, sent[0]?.writes);
  // The service returns a map's fields in an order of its own.
  replica.set('a/x', { b: 2, a: 1 }, 7);
  w.handleOutcome(sent[1]?.id as number, { kind: 'failed', keys: ['a/x'] }, 2100);
  assert.deepEqual(outcomes, ['ok']);
});

test('an invalid transaction costs no lease and no other write; a lease given up before costs none either', () => {
  let lease = 5;
  const { w, sent, gone } = writer(() => lease);
  const outcomes: string[] = [];
  const add = (key: string, leased = false) =>
    w.add({
      key,
      value: () => 1,
      expectedRevision: 0,
      attachedToLease: leased,
      priority: WritePriority.assignment,
      onOutcome: (outcome) => outcomes.push(`${key} ${outcome}`),
    });
  add('a/big');
  add('a/small');
  w.flush(0);
  w.handleOutcome(sent[0]?.id as number, { kind: 'invalid' }, 10);
  for (const t of sent.slice(1))
    w.handleOutcome(
      t.id,
      t.writes.some((write) => 'put' in write && write.put === 'a/big') ? { kind: 'invalid' } : { kind: 'ok', revision: 3 },
      20,
    );
  assert.deepEqual(outcomes.sort(), ['a/big dropped', 'a/small ok']);
  add('a/h/1', true);
  w.flush(30);
  lease = 6;
  w.handleOutcome(sent.at(-1)?.id as number, { kind: 'noLease' }, 40);
  assert.deepEqual(gone, [], 'the lease that we have now stands');
  add('a/h/2', true);
  w.flush(50);
  w.handleOutcome(sent.at(-1)?.id as number, { kind: 'noLease' }, 60);
  assert.deepEqual(gone, [1]);
  assert.ok(isLeaseNotFound({ error: 'no such lease' }) && !isLeaseNotFound({ error: 'value too large' }));
});
