// Read barriers: a read runs only once the replica holds everything that was stored when the read was requested.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReadBarriers } from '../packages/controller/src/state/read-barriers.js';

test('a read waits until the replica is as new as the request, and a later read keeps waiting', () => {
  const barriers = new ReadBarriers();
  const events: string[] = [];
  const read = (name: string, requestedAt: number) => ({
    requestedAt,
    run: () => events.push(name),
    expiresAt: requestedAt + 1000,
    onExpired: () => events.push(`${name} expired`),
  });
  barriers.add(read('first', 100));
  barriers.add(read('second', 200));

  barriers.completeUpTo(99, 250);
  assert.deepEqual(events, [], 'the replica is older than both requests');

  barriers.completeUpTo(100, 300);
  assert.deepEqual(events, ['first']);

  barriers.completeUpTo(199, 400);
  assert.deepEqual(events, ['first'], 'the second read still waits');

  barriers.expire(1201);
  assert.deepEqual(events, ['first', 'second expired']);
  assert.equal(barriers.size, 0);
});
