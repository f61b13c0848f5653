// Requests with malformed bodies are answered (status, headers and bytes)
// as recorded in test/recorded/malformed-input.json.

import { test } from 'node:test';
import { pack } from '@archpost/protocol';
import { request, responsesTo } from './malformed-support/http-exchange.js';
import { BODIES, VALUES, withField } from './malformed-support/malformed-values.js';
import { compareWithRecorded } from './malformed-support/recorded-results.js';
import { HEARTBEAT, SUBMISSION, TASK } from './malformed-support/request-bodies.js';

test('HTTP: a body that is empty, too large or not a MessagePack map is answered as recorded', async (context) => {
  const requests = BODIES.flatMap(([title, body]): [string, Buffer][] => [
    [`submission: ${title}`, request('POST', '/v2/runs', body)],
    [`report: ${title}`, request('POST', '/checkin', body)],
    [`report, path with a query: ${title}`, request('POST', '/checkin?a=b', body)],
    [
      `report, header in front of which is a line: ${title}`,
      Buffer.concat([Buffer.from('\r\n'), request('POST', '/checkin', body)]),
    ],
  ]);
  compareWithRecorded('bodies', await responsesTo(context, requests));
});

/** Values that are invalid for one field. */
const SUBMISSION_VALUES: [string, unknown][] = [
  ['ref', 'run-a b'],
  ['ref', `run-${'a'.repeat(64)}`],
  ['ref', `run-${'a'.repeat(65)}`],
  ['ref', 'run-\u00fc'],
  ['jobclass', 'x'.repeat(120)],
  ['jobclass', 'x'.repeat(121)],
  ['crew', 'nobody'],
  ['shape', 'array'],
  ['shape', 'toString'],
  ['rank', 'high'],
  ['rank', 'constructor'],
  ['pieces', 100_000],
  ['pieces', 100_001],
  ['cores', 1e9],
  ['cores', 1e9 + 1],
  ['cores', 49],
  ['accelerators', 9],
  ['memory_gb', 385],
  ['builds', ['unknown']],
  ['builds', ['small', '']],
  ['builds', ['small', 7]],
  ['builds', Array(64).fill('small')],
  ['builds', Array(65).fill('small')],
  ['yard', 'unknown'],
  ['due_s', -0.5],
  ['awaits', ['run-unknown']],
  ['awaits', ['run-a b']],
  ['awaits', ['run-first', 7]],
  ['awaits', 'run-first'],
];

function submissionWith(field: string, value: unknown, row: number): Buffer {
  const body = withField({ ...SUBMISSION, ref: `run-${row}` }, field, value);
  return request('POST', '/v2/runs', pack(body));
}

test('HTTP: a submission with a field that is missing or wrong is answered as recorded', async (context) => {
  const valuesOfAllTypes = Object.keys(SUBMISSION).flatMap((field) =>
    VALUES.map(([title, value]): [string, string, unknown] => [`${field}: ${title}`, field, value]),
  );
  const valuesOfOneField = SUBMISSION_VALUES.map(([field, value], index): [string, string, unknown] => [
    `${field}, special ${index}`,
    field,
    value,
  ]);
  const requests = [...valuesOfAllTypes, ...valuesOfOneField].map(([title, field, value], row): [string, Buffer] => [
    title,
    submissionWith(field, value, row),
  ]);
  requests.push(
    ['two wrong fields: the first is named', request('POST', '/v2/runs', pack({ ...SUBMISSION, stow_s: 'x', crew: 7 }))],
    ['it awaits itself', request('POST', '/v2/runs', pack({ ...SUBMISSION, ref: 'run-self', awaits: ['run-self'] }))],
    ['fields that are unknown', request('POST', '/v2/runs', pack({ ...SUBMISSION, ref: 'run-more', more: 1 }))],
  );
  compareWithRecorded('submissions', await responsesTo(context, requests));
});

/** Encodes a heartbeat from a machine of its own, since the controller keeps state of each machine. */
const heartbeatWith = (field: string, value: unknown, row: number): Buffer =>
  request('POST', '/checkin', pack(withField({ ...HEARTBEAT, host: `n-${row}` }, field, value)));

function heartbeatWithTask(field: string, value: unknown, row: number): Buffer {
  const pieces = [withField(TASK, field, value)];
  return request('POST', '/checkin', pack({ ...HEARTBEAT, host: `t-${row}`, pieces }));
}

const HEARTBEAT_VALUES: [string, unknown][] = [
  ['host', 'x'.repeat(190)],
  ['host', 'x'.repeat(191)],
  ['address', 'x'.repeat(100)],
  ['address', 'x'.repeat(101)],
  ['shift', 2 ** 53 - 1],
  ['shift', 2 ** 53],
  ['pieces', [null]],
  ['pieces', [TASK, TASK]],
  ['pieces', [TASK, {}]],
];

const TASK_VALUES: [string, unknown][] = [
  ['piece', 'run-a'],
  ['piece', 'run-a/'],
  ['piece', '/0'],
  ['piece', 'run-a/-1'],
  ['piece', 'run-a/0/1'],
  ['piece', 'run-a/0x1'],
  ['piece', 'run-a/99999999999999999999'],
  ['status', 'constructor'],
  ['cause', 'unknown'],
  ['cause', 'constructor'],
];

test('HTTP: a heartbeat with a field that is missing or wrong is answered as recorded', async (context) => {
  const requests: [string, Buffer][] = [];
  for (const field of Object.keys(HEARTBEAT))
    for (const [title, value] of VALUES) requests.push([`${field}: ${title}`, heartbeatWith(field, value, requests.length)]);
  for (const field of Object.keys(TASK))
    for (const [title, value] of VALUES)
      requests.push([`task, ${field}: ${title}`, heartbeatWithTask(field, value, requests.length)]);
  for (const [field, value] of HEARTBEAT_VALUES)
    requests.push([`${field}, special ${requests.length}`, heartbeatWith(field, value, requests.length)]);
  for (const [field, value] of TASK_VALUES)
    requests.push([`task, ${field}, special ${requests.length}`, heartbeatWithTask(field, value, requests.length)]);
  compareWithRecorded('reports', await responsesTo(context, requests));
});
