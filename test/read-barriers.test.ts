// Read barriers: what waits for a fresh replica goes on only once the replica holds all that was so when the wait began.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ReadBarriers } from '../packages/controller/src/state/read-barriers.js';

test('a read waits until the replica is as new as its request, and a later one waits on', () => {
  const barriers = new ReadBarriers();
  const seen: string[] = [];
  const read = (name: string, requestedAt: number) => ({
    requestedAt,
    run: () => seen.push(name),
    expiresAt: requestedAt + 1000,
    onExpired: () => seen.push(`${name} expired`),
  });
  barriers.add(read('first', 100));
  barriers.add(read('second', 200));

  barriers.completeUpTo(99, 250);
  assert.deepEqual(seen, [], 'the replica is older than both requests');

  barriers.completeUpTo(100, 300);
  assert.deepEqual(seen, ['first']);

  barriers.completeUpTo(199, 400);
  assert.deepEqual(seen, ['first'], 'the second still waits');

  barriers.expire(1201);
  assert.deepEqual(seen, ['first', 'second expired']);
  assert.equal(barriers.size, 0);
});
