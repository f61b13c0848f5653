// Requests with unknown paths, wrong methods or bad job names are answered (status, headers and bytes)
// as recorded in test/recorded/malformed-input.json.

import { test } from 'node:test';
import { request, responsesTo } from './malformed-support/http-exchange.js';
import { compareWithRecorded } from './malformed-support/recorded-results.js';

const METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS', 'BREW', 'post'];

const REQUESTED_PATHS = [
  '/',
  '/up',
  '/up/',
  '/Up',
  '/up?a=b',
  '/checkin',
  '/checkin/',
  '/CHECKIN',
  '/checkin?a=b',
  '/v2/runs',
  '/v2/runs/',
  '/v2/Runs',
  '/v2/runs?a=b',
  '/v2/runs/run-a/cancel/more',
  '/v2/runs/run-a/stop',
  '/v2',
  '/v1/runs',
  '/%',
  '//up',
  'up',
  '*',
  'http://c/up',
];

test('HTTP: an unknown path or a wrong method is answered as recorded', async (context) => {
  const requests = REQUESTED_PATHS.flatMap((path) =>
    METHODS.map((method): [string, Buffer] => [`${method} ${path}`, request(method, path)]),
  );
  compareWithRecorded('paths and methods', await responsesTo(context, requests));
});

const JOB_NAMES = [
  'run-unknown',
  'run-',
  'run',
  'RUN-a',
  'job-1',
  'run-a.b',
  'run-a_b-c',
  `run-${'a'.repeat(64)}`,
  `run-${'a'.repeat(65)}`,
  'run-a%20b',
  'run-a%2Fb',
  'run-%C3%BC',
  'run-%FF',
  'run-%',
  'run-%zz',
  'run-%00',
  'run-a%0D%0Ab',
  'run-a+b',
  'run-a;b',
  'run-a:b',
  'run-\u00fc',
  'run-a/',
  '/run-a',
  '.',
  '..',
  '%2E%2E',
  '',
];

test('HTTP: a bad job name in the path of a status or a cancellation is answered as recorded', async (context) => {
  const requests = JOB_NAMES.flatMap((name): [string, Buffer][] => [
    [`status of ${name}`, request('GET', `/v2/runs/${name}`)],
    [`status of ${name}, with a query`, request('GET', `/v2/runs/${name}?a=b`)],
    [`cancellation of ${name}`, request('POST', `/v2/runs/${name}/cancel`)],
    [
      `cancellation of ${name}, with a body that is no MessagePack`,
      request('POST', `/v2/runs/${name}/cancel`, Buffer.from('c1', 'hex')),
    ],
    [`cancellation of ${name} by GET`, request('GET', `/v2/runs/${name}/cancel`)],
    [`status of ${name} by POST`, request('POST', `/v2/runs/${name}`)],
  ]);
  compareWithRecorded('job names', await responsesTo(context, requests));
});
