// Formats of submissions, changes and heartbeats on the wire.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodePeerMessage, encodePeerMessage, parseChanges, parseHeartbeat, parseSubmission } from '@archpost/protocol';

const wireJob = {
  ref: 'run-000412',
  jobclass: 'train',
  crew: 'red',
  shape: 'gang',
  rank: 'urgent',
  pieces: 16,
  cores: 8.0,
  accelerators: 1.0,
  memory_gb: 64.0,
  bundle: 'img-07',
  size_gb: 6.2,
  builds: ['g8'],
  yard: null,
  one_zone: true,
  spread: false,
  loaners: true,
  guess_s: 240.0,
  snapshot_s: 30.0,
  stow_s: 4.0,
  due_s: 900.0,
};

test('a submission is checked field by field; null may be omitted, unknown fields are ignored', () => {
  const { yard: _, ...omitted } = wireJob;
  assert.ok('spec' in parseSubmission({ ...omitted, more: 1 }));
  for (const [field, value] of [
    ['ref', 'job-1'],
    ['pieces', 0],
    ['pieces', 100_001],
    ['pieces', 1.5],
    ['shape', 'circle'],
    ['rank', 3],
    ['cores', -1],
    ['builds', 'g8'],
    ['loaners', 'yes'],
  ] as const) {
    assert.deepEqual(parseSubmission({ ...wireJob, [field]: value }), { field });
  }
  const { cores: _c, ...missing } = wireJob;
  assert.deepEqual(parseSubmission(missing), { field: 'cores' });
});

test('a removed key has no value in the changes, and must not stop the watch', () => {
  const parsed = parseChanges({ ledger: 433, log: [{ remove: 'a/d', stamp: 432 }] });
  assert.deepEqual(parsed, { revision: 433, changes: [{ key: 'a/d', value: undefined, revision: 432 }] });
});

test('a heartbeat forwarded between controllers arrives unchanged', () => {
  const heartbeat = {
    machine: 'n-1',
    address: '10.1.0.1:9000',
    type: 'g8',
    zone: 'a',
    spot: false,
    agentEpoch: 2,
    sequence: 70_000,
    fencingToken: 2 ** 40,
    preemptionNoticeS: null,
    tasks: [
      { job: 'run-1', index: 3, attempt: 2 ** 45 + 1, state: 'exited' as const, exitReason: 'done' as const, saved: false },
    ],
  };
  assert.deepEqual(decodePeerMessage(encodePeerMessage({ node: 'a', status: null, heartbeat })).heartbeat, heartbeat);
});

// Guards against words that are looked up in a plain object, which also has inherited members: a heartbeat whose `status` was
// `constructor` was decoded to a function.
test('words that are inherited members of every object are treated as unknown words', () => {
  for (const word of ['constructor', 'toString', 'valueOf', 'hasOwnProperty', '__proto__', 'isPrototypeOf']) {
    const heartbeat = parseHeartbeat({
      ...{ host: 'n-1', address: '10.1.0.1:9000', build: 'g8', yard: 'a', loaners: false, shift: 1, tally: 1 },
      pieces: [{ piece: 'run-1/0', try: 1, status: word, cause: word }],
    });
    assert.deepEqual(heartbeat?.tasks[0], {
      job: 'run-1',
      index: 0,
      attempt: 1,
      state: 'running',
      exitReason: 'error',
      saved: false,
    });
    assert.deepEqual(parseSubmission({ ...wireJob, shape: word }), { field: 'shape' });
    assert.deepEqual(parseSubmission({ ...wireJob, rank: word }), { field: 'rank' });
  }
});
