/** Bodies that are small but cost much memory if a decoder reserves what they announce, or examines all that is wrong in them. */
import { pack } from '@archpost/protocol';
import { HEARTBEAT, SUBMISSION } from './request-bodies.js';

/** Header of a list of 2^20 elements. */
const LIST_OF_A_MILLION = Buffer.from('dd00100000', 'hex');

/** Header of a list of 2^16 - 1 elements. */
const LIST_OF_64K = Buffer.from('dcffff', 'hex');

/** Maps of one field, whose name is the largest array index for which V8 reserves an array up to the index. */
const MAP_WITH_NUMBER_KEY = Buffer.from('81cd03ffc0', 'hex');
const MAP_WITH_NUMERIC_TEXT_KEY = Buffer.from('81a431303233c0', 'hex');

function repeated(unit: Buffer, bytes: number): Buffer {
  return Buffer.concat(Array(Math.floor(bytes / unit.length)).fill(unit));
}

/** Encodes a list of equal elements that takes at most `bytes`. */
function listOf(element: Buffer, bytes: number): Buffer {
  const header = Buffer.alloc(5, 0xdd);
  const elements = repeated(element, bytes - header.length);
  header.writeUInt32BE(elements.length / element.length, 1);
  return Buffer.concat([header, elements]);
}

/** Encodes a map with one more field, whose value is encoded already. */
function withEncodedField(map: Record<string, unknown>, field: string, value: Buffer): Buffer {
  const fields = { ...map, [field]: null };
  const encoded = pack(fields);
  // The added field is the last one, and its value is the last byte.
  return Buffer.concat([encoded.subarray(0, -1), value]);
}

/** Bytes that remain for the value of a field in a request that is as large as allowed. */
const FIELD_BYTES = 60 * 1024;

/** Malformed requests that are as large as allowed, by title. Each of them is to be refused. */
export const COSTLY_MALFORMED_BODIES: [string, Buffer][] = [
  ['nested lists, each announced with 2^20 elements', repeated(LIST_OF_A_MILLION, 64 * 1024)],
  ['nested lists, each announced with 2^16 elements', repeated(LIST_OF_64K, 64 * 1024)],
  ['nested lists in a field of a map', withEncodedField({}, 'more', repeated(LIST_OF_A_MILLION, FIELD_BYTES))],
  ['maps with a number for a key', listOf(MAP_WITH_NUMBER_KEY, 64 * 1024)],
  ['maps with a numeric text for a key', listOf(MAP_WITH_NUMERIC_TEXT_KEY, 64 * 1024)],
  ['a submission with many wrong dependencies', withEncodedField(SUBMISSION, 'awaits', listOf(Buffer.from([0x80]), FIELD_BYTES))],
  ['a submission with many wrong types', withEncodedField(SUBMISSION, 'builds', listOf(Buffer.from([0x80]), FIELD_BYTES))],
  ['a heartbeat with many wrong tasks', withEncodedField(HEARTBEAT, 'pieces', listOf(Buffer.from([0x80]), FIELD_BYTES))],
  ['lists in lists', Buffer.concat([Buffer.alloc(64 * 1024 - 1, 0x91), Buffer.from('c0', 'hex')])],
];

/** Bodies whose decoded values take much for their size, most of them valid. */
export const COSTLY_BODIES: [string, Buffer][] = [
  ...COSTLY_MALFORMED_BODIES,
  ['empty maps', listOf(Buffer.from([0x80]), 64 * 1024)],
  ['maps in maps', Buffer.concat([repeated(Buffer.from('81a0', 'hex'), 64 * 1024 - 1), Buffer.from('c0', 'hex')])],
  [
    'maps with a digit for a key, in maps',
    Buffer.concat([repeated(Buffer.from('8109', 'hex'), 64 * 1024 - 1), Buffer.from('c0', 'hex')]),
  ],
  ['binary of no bytes', listOf(Buffer.from('c400', 'hex'), 64 * 1024)],
  ['extensions', listOf(Buffer.from('d40100', 'hex'), 64 * 1024)],
];

/** Size limit of a page of the state service's keys. */
const PAGE_BYTES = 512 * 1024;

/** Unreadable responses of the services that a controller uses, by title. */
export const COSTLY_RESPONSES: [string, Buffer][] = [
  ['nested lists', repeated(LIST_OF_A_MILLION, 64 * 1024)],
  ['maps with a number for a key', listOf(MAP_WITH_NUMBER_KEY, PAGE_BYTES)],
  [
    'maps with a digit for a key, in maps',
    Buffer.concat([repeated(Buffer.from('8109', 'hex'), PAGE_BYTES), Buffer.from('c0', 'hex')]),
  ],
  ['lists in lists', Buffer.concat([repeated(Buffer.from('91', 'hex'), PAGE_BYTES), Buffer.from('c0', 'hex')])],
  ['4 million empty maps', withEncodedField({ ledger: 1 }, 'log', listOf(Buffer.from([0x80]), 4 << 20))],
  ['wrong rows', withEncodedField({ ledger: 1 }, 'rows', listOf(Buffer.from([0x80]), PAGE_BYTES))],
  ['wrong changes', withEncodedField({ ledger: 1 }, 'log', listOf(Buffer.from([0x80]), PAGE_BYTES))],
  ['wrong machines', withEncodedField({}, 'hosts', listOf(Buffer.from([0x80]), PAGE_BYTES))],
  ['wrong machine types', withEncodedField({}, 'builds', listOf(Buffer.from([0x80]), PAGE_BYTES))],
  ['a heartbeat with many wrong tasks', withEncodedField(HEARTBEAT, 'pieces', listOf(Buffer.from([0x80]), PAGE_BYTES))],
];

/** Protobuf tag of the heartbeat in a peer message, and of a task in the heartbeat. */
const HEARTBEAT_TAG = 0x12;
const TASK_TAG = 0x52;

function protobufLength(length: number): number[] {
  return length < 0x80 ? [length] : [(length & 0x7f) | 0x80, ...protobufLength(length >>> 7)];
}

/** Encodes a peer message whose heartbeat has empty tasks, each of them two bytes. */
export function peerMessageOfEmptyTasks(bytes: number): Buffer {
  const tasks = repeated(Buffer.from([TASK_TAG, 0]), bytes);
  return Buffer.concat([Buffer.from([HEARTBEAT_TAG, ...protobufLength(tasks.length)]), tasks]);
}
