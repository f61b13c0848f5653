// The heap follows from the memory that the settings allow, and garbage is collected as the process grows.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CollectionTrigger } from '../packages/server/src/garbage-collection.js';
import { heapMb, planHeap, threadHeapMb } from '../packages/server/src/heap-plan.js';

test('the heap follows from memory and sockets: as it is where it fits, in a thread where there is more', () => {
  assert.deepEqual(planHeap({ memoryMb: 178, sockets: 1200 }, 112), { kind: 'as it is' });
  assert.deepEqual(planHeap({ memoryMb: 178, sockets: 1000 }, 112), { kind: 'as it is' });
  const large = { memoryMb: 1024, sockets: 6000 };
  assert.deepEqual(planHeap(large, 112), { kind: 'thread', heapMb: threadHeapMb(large) });
  assert.ok(threadHeapMb(large) > 700 && threadHeapMb(large) < heapMb(large));
  assert.equal(planHeap({ memoryMb: 100, sockets: 200 }, 112).kind, 'collect');
  assert.equal(planHeap({ memoryMb: 178, sockets: 1200 }, 4096).kind, 'collect');
});

// At 127 MB a controller holds 110 to 120 (the program's own pages included) whatever is collected. It collected everything
// each five seconds: a fifth of the processor of the smaller machines, and users were refused for each.
test('garbage is collected when the process grows, not again and again when what it holds is no garbage', () => {
  const trigger = new CollectionTrigger(108, 5);
  const held = [100, 109, 109, 109, 113, 114, 115, 114, 119, 121, 121];
  assert.deepEqual(
    held.map((mb) => trigger.isDue(mb)),
    [false, true, false, false, false, false, true, false, false, true, false],
  );
  assert.equal(trigger.isDue(90), false, 'much was given back');
  assert.equal(trigger.isDue(109), true, 'and taken again');
});
