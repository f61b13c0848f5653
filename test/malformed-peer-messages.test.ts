// Malformed frames and messages between controllers are refused or read
// as recorded in test/recorded/malformed-input.json.

import { test } from 'node:test';
import { encodeFrame, FrameReader } from '@archpost/peer-transport';
import { decodePeerMessage, encodePeerMessage, parseHeartbeat } from '@archpost/protocol';
import { resultOf } from './malformed-support/malformed-values.js';
import { compareWithRecorded, type Table } from './malformed-support/recorded-results.js';
import { HEARTBEAT, TASK } from './malformed-support/request-bodies.js';
import { STATUS } from './simulation/index.js';

/** Returns the bodies of the frames in these chunks, in hexadecimal. */
function readFrames(chunks: Buffer[]): string[] {
  const reader = new FrameReader();
  return chunks.flatMap((chunk) => reader.push(chunk)).map((body) => body.toString('hex'));
}

/** Decodes a peer message and returns its new encoding in hexadecimal. */
const readPeerMessage = (bytes: Buffer): string => Buffer.from(encodePeerMessage(decodePeerMessage(bytes))).toString('hex');

const MAX_FRAME_BYTES = 4 << 20;

const lengthPrefix = (length: number): string => length.toString(16).padStart(8, '0');

const FRAMES: [string, string][] = [
  ['nothing', ''],
  ['a part of a length', '000000'],
  ['an empty frame', '00000000'],
  ['two empty frames', '0000000000000000'],
  ['a truncated frame', '000000040102'],
  ['a whole frame', '000000020102'],
  ['a whole frame and a truncated one', '0000000201020000000203'],
  ['a whole frame and a byte', '00000002010200'],
  ['the largest length, nothing behind it', lengthPrefix(MAX_FRAME_BYTES)],
  ['a length that is one too large', lengthPrefix(MAX_FRAME_BYTES + 1)],
  ['a whole frame, then a length that is too large', `000000020102${lengthPrefix(MAX_FRAME_BYTES + 1)}`],
  ['the largest length of four bytes', 'ffffffff'],
  ['a length with its first bit set', '80000000'],
  ['text', Buffer.from('GET /up HTTP/1.1\r\n\r\n').toString('hex')],
];

test('frames: a malformed frame is refused or read as recorded, in one piece or byte by byte', () => {
  const table: Table = {};
  for (const [title, hex] of FRAMES) {
    const bytes = Buffer.from(hex, 'hex');
    table[title] = resultOf(() => readFrames([bytes]));
    table[`${title}, byte by byte`] = resultOf(() => readFrames(Array.from(bytes, (byte) => Buffer.from([byte]))));
  }
  table['an encoded frame'] = encodeFrame(Buffer.from('0102', 'hex')).toString('hex');
  table['an encoded empty frame'] = encodeFrame(Buffer.alloc(0)).toString('hex');
  compareWithRecorded('frames', table);
});

/** Encodes a message with a status and a heartbeat. */
function wholeMessage(): Buffer {
  const heartbeat = parseHeartbeat({
    ...HEARTBEAT,
    shift: 2,
    tally: 70_000,
    baton: 2 ** 40,
    pieces: [{ ...TASK, try: 2 ** 45 + 1 }],
  });
  return Buffer.from(encodePeerMessage({ node: 'a', status: { ...STATUS, availableTypes: ['g8'], ping: 'p' }, heartbeat }));
}

const MESSAGES: [string, string][] = [
  ['empty', ''],
  ['a name only', '1a0161'],
  ['an empty name', '1a00'],
  ['a name twice: the last one counts', '1a01611a0162'],
  ['a name that is not UTF-8', '1a02ff80'],
  ['a name as a number', '1801'],
  ['a name as eight bytes', '190000000000000000'],
  ['a name as four bytes', '1d00000000'],
  ['a name longer than the message', '1a0561'],
  ['a length that does not end', '1affffffff'],
  ['a tag that does not end', 'ff'],
  ['field 0', '0001'],
  ['an unknown field', '1a01612001'],
  ['an unknown field of a text', '1a0161a2060178'],
  ['an unknown group', '1a01612324'],
  ['a group that does not end', '1a016123'],
  ['the end of a group that has not begun', '1a016124'],
  ['wire type 6', '1a016126'],
  ['wire type 7', '1a016127'],
  ['an empty status', '0a00'],
  ['a status as a number', '0801'],
  ['a status with an unknown field', '0a0440010a00'],
  ['an empty report', '1200'],
  ['a report as a number', '1001'],
  ['a report whose machine is a number', '12020801'],
  ['a report whose session is a text', '1203320161'],
  ['a report whose session is 64 bits', '120b30ffffffffffffffffff01'],
  ['a report whose session does not end', '120c30ffffffffffffffffffffff'],
  ['a report with an empty task', '12025200'],
  ['a report with a task as a number', '12025001'],
  ['a status with an empty share', '0a021200'],
  ['a status whose flag is a text', '0a033a0161'],
  ['a name and trailing zero bytes', '1a01610000'],
];

test('peer messages: a malformed message is refused or read as recorded', () => {
  const whole = wholeMessage();
  const table: Table = { 'a whole message': resultOf(() => readPeerMessage(whole)) };
  for (const [title, hex] of MESSAGES) table[title] = resultOf(() => readPeerMessage(Buffer.from(hex, 'hex')));
  for (let length = 0; length < whole.length; length++)
    table[`the first ${length} bytes of a whole message`] = resultOf(() => readPeerMessage(whole.subarray(0, length)));
  for (let at = 0; at < whole.length; at++) {
    const damaged = Buffer.from(whole);
    damaged[at] = (damaged[at] as number) ^ 0x07;
    table[`a whole message, byte ${at} with another wire type`] = resultOf(() => readPeerMessage(damaged));
  }
  compareWithRecorded('peer messages', table);
});
