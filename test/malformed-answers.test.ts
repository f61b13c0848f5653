// Malformed responses of the state service, the cloud and workers are refused or read
// as recorded in test/recorded/malformed-input.json.

import { test } from 'node:test';
import {
  isLeaseNotFound,
  parseChanges,
  parseFailedKeys,
  parseHeartbeat,
  parseKeyPage,
  parseLeaseId,
  parseMachineList,
  parseMachineTypes,
  parseProvisionedMachines,
  parseRevision,
  unpack,
  unpackMap,
} from '@archpost/protocol';
import { BODIES, type Body, pathsIn, resultOf, VALUES, withValue } from './malformed-support/malformed-values.js';
import { compareWithRecorded, type Table } from './malformed-support/recorded-results.js';
import { HEARTBEAT, TASK } from './malformed-support/request-bodies.js';

/** Functions that read the bodies of responses, by the kind of response. */
const BODY_READERS: Record<string, (body: Body) => unknown> = {
  'keys of the state service': parseKeyPage,
  'changes of the state service': parseChanges,
  'lease of the state service': parseLeaseId,
  'revision of a transaction': parseRevision,
  'keys that failed a transaction': parseFailedKeys,
  'error of a transaction: the lease has ended': isLeaseNotFound,
  'machine types of the cloud': parseMachineTypes,
  'machine list of the cloud': parseMachineList,
  'rented machines of the cloud': parseProvisionedMachines,
  'report in the answer of a worker': parseHeartbeat,
};

/** Valid bodies of responses; each of their fields is replaced by values of all types. */
const VALID_BODIES: Record<string, Body> = {
  'keys of the state service': { rows: [{ k: 'a/x', v: { s: 0 }, stamp: 3 }], has_next: true, ledger: 4 },
  'changes of the state service': { ledger: 4, log: [{ write: 'a/x', remove: null, v: 1, stamp: 3 }] },
  'lease of the state service': { permit: 5 },
  'revision of a transaction': { ledger: 4 },
  'keys that failed a transaction': { failed: ['a/x', 'a/y'] },
  'error of a transaction: the lease has ended': { error: 'no such lease' },
  'machine types of the cloud': {
    builds: [
      {
        name: 'g8',
        cores: 48,
        accelerators: 8,
        memory_gb: 384,
        cache_gb: 100,
        fetch_gb_per_s: 2,
        hourly: 20,
        spot_price: 6,
        boot_s: 30,
        yards: ['east'],
      },
    ],
  },
  'machine list of the cloud': {
    hosts: [{ ref: 'n-1', address: '1.2.3.4:5', build: 'g8', yard: 'east', loaners: true, status: 'running', age_s: 3 }],
    has_next: false,
  },
  'rented machines of the cloud': { hosts: ['n-1', 'n-2'] },
  'report in the answer of a worker': { ...HEARTBEAT, pieces: [TASK] },
};

/** Returns all values in a result, without the names of their fields, which are internal. */
function valuesIn(result: unknown): string[] {
  const isTree = typeof result === 'object' && result !== null && !(result instanceof Uint8Array);
  return isTree ? Object.values(result).flatMap(valuesIn).sort() : [`${typeof result} ${String(result)}`];
}

/** Returns the values that are read from a body, or null if it is refused. */
function valuesRead(read: (body: Body) => unknown, body: Body): unknown {
  return resultOf(() => {
    const result = read(body);
    return result === null ? null : valuesIn(result);
  });
}

test('responses of the state service, the cloud and workers: malformed bodies are refused or read as recorded', () => {
  const table: Table = {};
  for (const [kind, read] of Object.entries(BODY_READERS)) {
    const valid = VALID_BODIES[kind] as Body;
    table[`${kind}: good`] = valuesRead(read, valid);
    table[`${kind}: an empty map`] = valuesRead(read, {});
    for (const path of pathsIn(valid))
      for (const [title, value] of VALUES)
        table[`${kind}: ${path.join('.')}: ${title}`] = valuesRead(read, withValue(valid, path, value) as Body);
  }
  compareWithRecorded('answers', table);
});

test('responses that are not a MessagePack map are refused as recorded', () => {
  const table: Table = {};
  for (const [title, bytes] of BODIES) {
    table[`${title}: a map`] = resultOf(() => {
      const map = unpackMap(bytes);
      return map === null ? null : Object.keys(map);
    });
    table[`${title}: any value`] = resultOf(() => typeof unpack(bytes));
  }
  compareWithRecorded('bodies of answers', table);
});
