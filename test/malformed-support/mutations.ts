/** Random bodies: bytes, and valid requests of which a part was changed. */
import { pack } from '@archpost/protocol';
import fc from 'fast-check';

/** Pieces that mutations insert: headers that announce much, text that is not UTF-8, numeric keys. */
const PIECES = [
  'dd00100000',
  'dcffff',
  'df00100000',
  'deffff',
  'dbffffffff',
  'c6ffffffff',
  'eda080',
  'ff',
  'c0',
  '80',
  '90',
  '8109',
  '81cd03ffc0',
  'd6ff',
];

/** Returns the bytes with those from `start` to `end` replaced. */
function spliced(bytes: Buffer, start: number, end: number, inserted: Uint8Array): Buffer {
  return Buffer.concat([bytes.subarray(0, start), inserted, bytes.subarray(end)]);
}

const insertedBytes = fc.oneof(
  fc.uint8Array({ maxLength: 8 }),
  fc.constantFrom(...PIECES).map((hex) => Buffer.from(hex, 'hex')),
  fc
    .tuple(fc.constantFrom(...PIECES), fc.integer({ min: 1, max: 4000 }))
    .map(([hex, count]) => Buffer.from(hex.repeat(count), 'hex')),
);

interface Mutation {
  /** place of the change, as a fraction of the body */
  at: number;
  removedBytes: number;
  inserted: Uint8Array;
}

const mutation: fc.Arbitrary<Mutation> = fc.record({
  at: fc.double({ min: 0, max: 1, noNaN: true }),
  removedBytes: fc.integer({ min: 0, max: 4 }),
  inserted: insertedBytes,
});

/** A valid body with one to three changes. */
export function mutated(body: Record<string, unknown>): fc.Arbitrary<Buffer> {
  return fc.array(mutation, { minLength: 1, maxLength: 3 }).map((mutations) => {
    let bytes = pack(body);
    for (const { at, removedBytes, inserted } of mutations) {
      const start = Math.floor(at * bytes.length);
      bytes = spliced(bytes, start, start + removedBytes, inserted);
    }
    return bytes;
  });
}

/** Text of any characters, some of which UTF-8 can't encode. */
const anyText = fc.string({ unit: 'binary', minLength: 1, maxLength: 130 });

/** A body whose fields of these names have random texts, and that has one more field. */
export function withRandomTexts(body: Record<string, unknown>, fields: string[]): fc.Arbitrary<Buffer> {
  return fc
    .tuple(
      fc.subarray(fields),
      fc.array(anyText, { minLength: fields.length, maxLength: fields.length }),
      fc.anything({ maxDepth: 3 }),
    )
    .map(([changed, texts, more]) => {
      const changes = Object.fromEntries(changed.map((field, index) => [field, texts[index]]));
      // JSON leaves the values that the protocols have.
      return pack({ ...body, ...changes, more: JSON.parse(JSON.stringify(more ?? null)) });
    });
}

/** Bytes without a meaning. */
export const randomBytes: fc.Arbitrary<Buffer> = fc.uint8Array({ maxLength: 2000 }).map((bytes) => Buffer.from(bytes));
