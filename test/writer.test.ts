// What becomes of a write that is repeated, lost or can't be taken (docs/meetings.md).
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Effect, Replica, StateWriter, WritePriority } from '@archpost/controller';
import { isLeaseNotFound } from '@archpost/protocol';

function writer(lease = () => null as number | null) {
  const replica = new Replica(() => {}, assert.ifError);
  const sent: Extract<Effect, { type: 'compareAndSwap' }>[] = [];
  const gone: number[] = [];
  const w = new StateWriter(
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
  return { w, replica, sent, gone };
}

test('a repeated write is the same write: its own lost first copy is known, whatever was meant meanwhile', () => {
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

test('a transaction that can not be taken costs no lease and no other write; a lease given up before costs none either', () => {
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
