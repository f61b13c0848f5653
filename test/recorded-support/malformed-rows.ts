/** Stored rows that can't be read, or only in part, and valid rows that must be read despite them. */

import { encodeJobSpec } from '@archpost/controller';
import { job, TYPES } from '../simulation/index.js';
import type { Row } from './controller-reader.js';
import { recordDay } from './day-recording.js';
import { DAYS, type Day } from './simulated-days.js';

const SPEC = encodeJobSpec(job('run-bad', { tasks: 9, machineTypes: ['small'] }));

const ASSIGNMENT = { s: 0, a: 'bad', t: 'small', z: 'east', sp: false };

const PARTS = { s: 0, t: 5, sp: SPEC, x: { k: 'group', n: 1 } };

const STATUS_ROW = recordDay(DAYS['work and faults of each kind'] as Day).rows.find((row) => row.key.startsWith('a/s/'));

function without(value: object, ...names: string[]): object {
  return Object.fromEntries(Object.entries(value).filter(([name]) => !names.includes(name)));
}

/** Values that have a wrong type under every key. */
export const WRONG_TYPE_VALUES: unknown[] = [null, 7, true, 'text', '', [], {}, [null], [7]];

/** For each key, values that a newer version or a fault could store, in addition to WRONG_TYPE_VALUES. */
export const MALFORMED: Record<string, unknown[]> = {
  'a/h/0': [{ node: 'n0' }, { boot: 'b' }, { node: 7, boot: 'b' }, { node: 'n0', boot: 'b', newer: 1 }],
  'a/h/lead': [{ node: 'n0' }, { node: 'n0', boot: null }],
  'a/h/99': [{ node: 'unknown', boot: 'b' }],
  'a/g/bad': [
    without(ASSIGNMENT, 's'),
    without(ASSIGNMENT, 'a'),
    without(ASSIGNMENT, 't'),
    without(ASSIGNMENT, 'z'),
    without(ASSIGNMENT, 'sp'),
    { ...ASSIGNMENT, s: '0' },
    { ...ASSIGNMENT, s: 99 },
    { ...ASSIGNMENT, s: null },
    { ...ASSIGNMENT, t: 7 },
    { ...ASSIGNMENT, t: 'unknown' },
    { ...ASSIGNMENT, z: null },
    { ...ASSIGNMENT, mv: 'x' },
    { ...ASSIGNMENT, mv: null, x: null },
    { ...ASSIGNMENT, newer: { deep: 1 } },
    { ...ASSIGNMENT, mv: 2, x: true, n: 5 },
  ],
  'a/j/run-bad': [
    { s: 0, t: 5 },
    { s: 0, t: 5, sp: null },
    { s: 0, t: 5, sp: 'spec' },
    { s: 0, t: 5, sp: without(SPEC, 'id') },
    { s: 0, t: '5', sp: SPEC },
    { s: 0, sp: SPEC },
    { s: 0, t: null, sp: SPEC, n: null, e: null },
    { s: 4, t: 5, sp: SPEC },
    { s: '0', t: 5, sp: SPEC },
    { t: 5, sp: SPEC },
    { s: 0, t: 5, sp: SPEC, newer: 1 },
    { s: 0, t: 5, sp: { ...SPEC, newer: 1 } },
    { s: 0, t: 5, sp: SPEC, n: 'x' },
    { s: 0, t: 5, sp: SPEC, e: 'x' },
    { s: 3, t: 5, sp: SPEC },
    { s: 3, t: 5, sp: SPEC, aw: null },
    { s: 3, t: 5, sp: SPEC, aw: 'run-a' },
    { s: 3, t: 5, sp: SPEC, aw: [7] },
    { s: 3, t: 5, sp: SPEC, aw: [] },
    { s: 3, t: 5, sp: SPEC, aw: ['run-unknown'] },
    { ...PARTS, x: null },
    { ...PARTS, x: { k: 7, n: 1 } },
    { ...PARTS, x: { k: 'group', n: 0 } },
    { ...PARTS, x: { k: 'group', n: 1.5 } },
    { ...PARTS, x: { k: 'group' } },
    PARTS,
    { s: 1 },
    { s: 1, t: 5, n: 'x' },
    { s: 1, t: 5, n: 9, e: 6, newer: 1 },
    { s: 2 },
    { s: 2, t: 5, sp: 7 },
    { s: 2, t: 5, sp: SPEC, aw: 7 },
  ],
  'a/p/run-good/0': ['f', 'g', 'F', 'f ', 'fx', '0x', 'f'.repeat(5000), ['f']],
  'a/p/run-good/x': ['f'],
  'a/p/run-good/': ['f'],
  'a/p/run-good/-1': ['f'],
  'a/p/run-good/0.5': ['f', 'z'],
  'a/p/run-good/0.x': ['f'],
  'a/p/run-good/1e3': ['f'],
  'a/p/run-good/99999999999999999999': ['f'],
  'a/p/run-unknown/0': ['f', 'g'],
  'a/p/run-good': ['f'],
  'a/types': [[{}], [{ name: 7 }], TYPES.slice(1), TYPES.map((type) => ({ ...type, newer: 1 }))],
  'a/types/0': [
    { count: 2 },
    { list: TYPES },
    { count: '1', list: TYPES },
    { count: 1, list: {} },
    { count: 2, list: TYPES.slice(1) },
    { count: 1, list: TYPES, newer: 1 },
  ],
  'a/types/x': [{ count: 1, list: TYPES }],
  'a/x/run-good/group/0': [{ ty: 'small' }, { ty: [7] }, { aw: 'x' }, { aw: [null] }, { ty: null, aw: null }, { newer: 1 }],
  'a/x/run-parts/group/0': [{ ty: 'small' }, { ty: [7] }, { aw: [null] }, { ty: null, aw: null }, { ty: ['big'], newer: 1 }],
  'a/x/run-parts/group/x': [{ ty: ['big'] }],
  'a/x/run-parts': [{ ty: ['big'] }],
  'a/n/n1': [{ node: 'n1' }],
  'a/s/n1': [
    ...(STATUS_ROW ? [STATUS_ROW.value, without(STATUS_ROW.value as object, 'shares')] : []),
    { ...(STATUS_ROW?.value as object), shares: [{}] },
    { ...(STATUS_ROW?.value as object), shares: [null] },
    { ...(STATUS_ROW?.value as object), running: null },
    { ...(STATUS_ROW?.value as object), newer: 1 },
    { ...(STATUS_ROW?.value as object), node: 7 },
  ],
  'a/c/good': [[['img']], [['img', 'x']], [[7, 1]], [['img', 1, 'newer']], [['img', 1], null]],
  'a/newer/x': [{ any: 1 }],
  'b/other': [{ any: 1 }],
};

/** Rows that are loaded together with each malformed value and must be read. */
export const GOOD_ROWS: Row[] = [
  { key: 'a/g/good', value: { ...ASSIGNMENT, a: 'good' }, stamp: 2 },
  { key: 'a/j/run-good', value: { s: 0, t: 5, sp: encodeJobSpec(job('run-good', { tasks: 40_000 })) }, stamp: 3 },
  { key: 'a/j/run-parts', value: { ...PARTS, sp: { ...SPEC, id: 'run-parts' } }, stamp: 4 },
];
