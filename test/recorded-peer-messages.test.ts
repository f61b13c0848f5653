// Messages between controllers are encoded to the recorded bytes, and malformed ones are refused or read as recorded.

import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { test } from 'node:test';
import { decodePeerMessage, encodePeerMessage, type PeerMessage } from '@archpost/protocol';
import { FULL_MESSAGES } from './recorded-support/full-messages.js';
import { assertAsRecorded, production } from './recorded-support/recorded-data.js';
import { days } from './recorded-support/recorded-days.js';

test('peer messages of this version and of the production version are decoded and encoded to the same bytes', () => {
  const present = days.flatMap((day) => Object.values(day.messages.examples).flat());
  for (const hex of [...present, ...production.messages])
    assert.equal(Buffer.from(encodePeerMessage(decodePeerMessage(Buffer.from(hex, 'hex')))).toString('hex'), hex);
});

test('messages with every field set are encoded to the recorded bytes, and decoded to what they were', () => {
  const encoded = FULL_MESSAGES.map((message) => Buffer.from(encodePeerMessage(message)).toString('hex'));
  assertAsRecorded('full-messages', encoded, 1);
  for (const [index, hex] of encoded.entries())
    assert.deepEqual(decodePeerMessage(Buffer.from(hex, 'hex')), FULL_MESSAGES[index]);
});

/** The outcome of decoding a message: the bytes to which it is encoded again, or that it is refused. */
function outcomeOfBytes(bytes: Buffer): string {
  let message: PeerMessage;
  try {
    message = decodePeerMessage(bytes);
  } catch {
    return 'refused';
  }
  return `read as ${Buffer.from(encodePeerMessage(message)).toString('hex')}`;
}

test('malformed messages between controllers are refused or read as recorded', () => {
  const samples = production.messages.map((hex) => Buffer.from(hex, 'hex'));
  const shortest = samples.reduce((least, bytes) => (bytes.length < least.length ? bytes : least));
  const shortMessages = [
    '',
    'ff',
    '00',
    '0a',
    '0a05',
    '1a026e',
    '1a036e30',
    '08',
    '0801',
    '2a00',
    '1a026e30',
    '22026e30',
    '0a00',
    '1200',
  ];
  const outcomes = Object.fromEntries(shortMessages.map((hex) => [hex, outcomeOfBytes(Buffer.from(hex, 'hex'))]));
  const isReadTo = Array.from({ length: shortest.length + 1 }, (_, length) =>
    outcomeOfBytes(shortest.subarray(0, length)) === 'refused' ? '-' : 'r',
  ).join('');
  const flipped = samples.map((bytes) => {
    const digest = createHash('sha256');
    for (let at = 0; at < bytes.length; at++) {
      const changed = Buffer.from(bytes);
      changed[at] = (changed[at] as number) ^ 0xff;
      digest.update(`${outcomeOfBytes(changed)}\n`);
    }
    return digest.digest('hex');
  });
  const newerField = Buffer.concat([shortest, Buffer.from('f2070161', 'hex')]);
  assert.equal(outcomeOfBytes(newerField), outcomeOfBytes(shortest), 'a field of a newer version is skipped');
  assertAsRecorded('malformed-messages', { alone: outcomes, shortest: shortest.toString('hex'), isReadTo, flipped }, 2);
});
