// MessagePack from outside: what is malformed is refused, at a cost in proportion to its bytes, and nothing of it is kept.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import v8 from 'node:v8';
import vm from 'node:vm';
import { decodeMap, hasValidTexts, pack, parseHeartbeat, parseSubmission, unpack } from '@archpost/protocol';
import { Decoder } from '@msgpack/msgpack';
import fc from 'fast-check';
import { findStructureFault } from '../packages/protocol/src/message-pack-structure.js';
import { COSTLY_BODIES } from './malformed-support/costly-bodies.js';
import { resultOf } from './malformed-support/malformed-values.js';
import { HEARTBEAT, SUBMISSION, TASK } from './malformed-support/request-bodies.js';

/** Seed of the short runs in CI. */
const SEED = 53;

/** Bodies that each property is tried with. PROPERTY_RUNS sets more for a run by hand. */
const RUNS = { seed: SEED, numRuns: Number(process.env.PROPERTY_RUNS ?? 3000) };

/** Bytes that are mostly headers, so that many of them form nested values. */
const headerBytes = fc.array(fc.oneof(fc.integer({ min: 0x80, max: 0xff }), fc.integer({ min: 0, max: 12 })), { maxLength: 40 });

/** A value of any type that the protocols use. */
const anyValue = fc.anything({
  withNullPrototype: false,
  maxDepth: 4,
  values: [fc.string({ unit: 'binary' }), fc.double(), fc.boolean(), fc.constant(null)],
});

test('bytes have no structure fault if a decoder reads them whole', () => {
  fc.assert(
    fc.property(headerBytes, (bytes) => {
      const body = Uint8Array.from(bytes);
      // A small limit keeps the decoder from reserving what the bytes announce.
      const decoder = new Decoder({ maxArrayLength: body.length, maxMapLength: body.length });
      const isDecoded = resultOf(() => [decoder.decode(body)]) !== 'refused';
      if (isDecoded) assert.equal(findStructureFault(body), null);
    }),
    RUNS,
  );
});

test('a value that is cut off at any place is truncated, and a value followed by a byte has trailing bytes', () => {
  fc.assert(
    fc.property(anyValue, (value) => {
      const bytes = pack({ value });
      assert.equal(findStructureFault(bytes), null);
      for (let length = 0; length < bytes.length; length++)
        assert.equal(findStructureFault(bytes.subarray(0, length)), 'truncated', `${length} of ${bytes.toString('hex')}`);
      assert.equal(findStructureFault(Buffer.concat([bytes, Buffer.from([0xc0])])), 'trailing bytes');
    }),
    { ...RUNS, numRuns: RUNS.numRuns / 10 },
  );
});

test('text is valid if it is UTF-8, at any length and depth', () => {
  fc.assert(
    fc.property(fc.string({ unit: 'binary', maxLength: 300 }), fc.nat(), (text, nat) => {
      const bytes = pack({ list: [{ text }, nat] });
      assert.equal(hasValidTexts(bytes), text.isWellFormed());
    }),
    RUNS,
  );
  for (const text of ['ff', 'eda080', 'c080', 'e282', 'f4908080'])
    assert.equal(
      hasValidTexts(Buffer.concat([Buffer.from([0x91, 0xa0 + text.length / 2]), Buffer.from(text, 'hex')])),
      false,
      text,
    );
});

/** Heap that a body may take for each of its bytes until it is known to be valid (docs/operations/sizing.md). */
const MAX_HEAP_BYTES_PER_BYTE = 256;

function collectingGarbage(): () => number {
  v8.setFlagsFromString('--expose-gc');
  const collect: () => void = vm.runInNewContext('gc');
  return () => {
    collect();
    return process.memoryUsage().heapUsed;
  };
}

test('whatever a body announces and however it nests, its decoded values take at most 256 bytes of heap for each of its bytes', () => {
  const heapUsed = collectingGarbage();
  for (const [title, body] of COSTLY_BODIES) {
    const before = heapUsed();
    const values = resultOf(() => unpack(body));
    const taken = heapUsed() - before;
    assert.ok(taken <= MAX_HEAP_BYTES_PER_BYTE * body.length, `${title}: ${taken} bytes for ${body.length}`);
    // The values are alive until here.
    assert.notEqual(values, undefined);
  }
});

/** Heap that code and feedback of the engine may take between two measurements. */
const ENGINE_BYTES = 1 << 20;

/** A function of its own, so that no variable holds the decoded values when it returns. */
function decodedKind(body: Buffer): string {
  return decodeMap(body).kind;
}

test('nothing is kept of a body, neither of a refused one nor of one that nobody holds any longer', () => {
  const heapUsed = collectingGarbage();
  for (const [title, body] of COSTLY_BODIES) {
    const before = heapUsed();
    const kind = decodedKind(body);
    const kept = heapUsed() - before;
    assert.ok(kept < ENGINE_BYTES, `${title}, ${kind}: ${kept} bytes`);
  }
});

test('a list is refused at its first invalid element, which is named, and too long a list before its elements are read', () => {
  const many = <T>(value: T, count: number): T[] => Array(count).fill(value);
  const fieldOf = (field: string, value: unknown) => parseSubmission({ ...SUBMISSION, [field]: value });
  assert.deepEqual(fieldOf('awaits', [...many('run-a', 1000), 7, 8]), { field: 'awaits.1000' });
  assert.deepEqual(fieldOf('builds', ['small', '', 7]), { field: 'builds.1' });
  assert.deepEqual(fieldOf('builds', many(7, 65)), { field: 'builds' });
  assert.deepEqual(fieldOf('awaits', {}), { field: 'awaits' });
  assert.equal(parseHeartbeat({ ...HEARTBEAT, pieces: many(TASK, 1000) })?.tasks.length, 1000);
  assert.equal(parseHeartbeat({ ...HEARTBEAT, pieces: [...many(TASK, 1000), {}] }), null);
});
