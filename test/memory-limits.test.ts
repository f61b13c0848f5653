// The heap plan follows from the memory limit in the settings, and garbage is collected when the process grows.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CollectionTrigger } from '../packages/server/src/garbage-collection.js';
import { heapMb, planHeap, threadHeapMb } from '../packages/server/src/heap-plan.js';

test('the heap plan follows from memory and sockets: unchanged, a thread with a larger heap, or early collection', () => {
  assert.deepEqual(planHeap({ memoryMb: 178, sockets: 1200 }, 112), { kind: 'as it is' });
  assert.deepEqual(planHeap({ memoryMb: 178, sockets: 1000 }, 112), { kind: 'as it is' });
  const large = { memoryMb: 1024, sockets: 6000 };
  assert.deepEqual(planHeap(large, 112), { kind: 'thread', heapMb: threadHeapMb(large) });
  assert.ok(threadHeapMb(large) > 700 && threadHeapMb(large) < heapMb(large));
  assert.equal(planHeap({ memoryMb: 100, sockets: 200 }, 112).kind, 'collect');
  assert.equal(planHeap({ memoryMb: 178, sockets: 1200 }, 4096).kind, 'collect');
});

// With a memory limit of 127 MB a controller uses 110 to 120 MB (the program's own pages included), whatever is collected.
// Guards against a full collection every five seconds: that took a fifth of the processor time of the smaller machines, and
// user requests were refused at each collection.
test('garbage is collected when the process grows, and not repeatedly when its memory is in use', () => {
  const trigger = new CollectionTrigger(108, 5);
  const processMb = [100, 109, 109, 109, 113, 114, 115, 114, 119, 121, 121];
  assert.deepEqual(
    processMb.map((mb) => trigger.isDue(mb)),
    [false, true, false, false, false, false, true, false, false, true, false],
  );
  assert.equal(trigger.isDue(90), false, 'much memory was freed');
  assert.equal(trigger.isDue(109), true, 'the process has grown again');
});
