// Requests with malformed headers or request lines are answered (status, headers and bytes)
// as recorded in test/recorded/malformed-input.json.

import { test } from 'node:test';
import { pack } from '@archpost/protocol';
import { rawRequest, responsesTo } from './malformed-support/http-exchange.js';
import { compareWithRecorded } from './malformed-support/recorded-results.js';

/** Malformed or unusual headers of a request with a body, and the body; a request line is put before them. */
const MALFORMED_HEADERS: [string, string[], Uint8Array][] = [
  ['no host', ['Content-Length: 1'], pack({})],
  ['two hosts', ['Host: c', 'Host: d', 'Content-Length: 1'], pack({})],
  ['no length', ['Host: c'], Buffer.alloc(0)],
  ['a length that is no number', ['Host: c', 'Content-Length: x'], Buffer.alloc(0)],
  ['a negative length', ['Host: c', 'Content-Length: -1'], Buffer.alloc(0)],
  ['two lengths', ['Host: c', 'Content-Length: 1', 'Content-Length: 2'], pack({ a: 1 })],
  [
    'length and chunks',
    ['Host: c', 'Content-Length: 1', 'Transfer-Encoding: chunked'],
    Buffer.from('1\r\n\x80\r\n0\r\n\r\n', 'latin1'),
  ],
  ['chunks', ['Host: c', 'Transfer-Encoding: chunked'], Buffer.from('1\r\n\x80\r\n0\r\n\r\n', 'latin1')],
  [
    'chunks whose length is no number',
    ['Host: c', 'Transfer-Encoding: chunked'],
    Buffer.from('zz\r\n\x80\r\n0\r\n\r\n', 'latin1'),
  ],
  ['no chunks', ['Host: c', 'Transfer-Encoding: chunked'], Buffer.from('0\r\n\r\n')],
  ['an unknown transfer encoding', ['Host: c', 'Transfer-Encoding: odd'], Buffer.alloc(0)],
  ['content that claims to be gzip', ['Host: c', 'Content-Encoding: gzip', 'Content-Length: 1'], pack({})],
  ['content of an unknown encoding', ['Host: c', 'Content-Encoding: odd', 'Content-Length: 1'], pack({})],
  ['content that claims to be JSON', ['Host: c', 'Content-Type: application/json', 'Content-Length: 1'], pack({})],
  ['a content type that is none', ['Host: c', 'Content-Type: ;;;', 'Content-Length: 1'], pack({})],
  ['connection: close', ['Host: c', 'Connection: close', 'Content-Length: 1'], pack({})],
  ['connection: upgrade', ['Host: c', 'Connection: upgrade', 'Upgrade: odd', 'Content-Length: 1'], pack({})],
  ['expect: 100-continue', ['Host: c', 'Expect: 100-continue', 'Content-Length: 1'], pack({})],
  ['an unknown expectation', ['Host: c', 'Expect: odd', 'Content-Length: 1'], pack({})],
  ['a header without a colon', ['Host: c', 'odd', 'Content-Length: 1'], pack({})],
  ['a header without a name', ['Host: c', ': odd', 'Content-Length: 1'], pack({})],
  ['a space in the name of a header', ['Host: c', 'odd name: x', 'Content-Length: 1'], pack({})],
  ['a header that is too long', ['Host: c', `odd: ${'x'.repeat(20_000)}`, 'Content-Length: 1'], pack({})],
];

const REQUEST_LINES = ['POST /v2/runs HTTP/1.1', 'POST /v2/runs HTTP/1.0', 'POST /checkin HTTP/1.1', 'POST /checkin HTTP/1.0'];

const MALFORMED_REQUEST_LINES = [
  'GET /up',
  'GET /up HTTP/3.0',
  'GET  /up HTTP/1.1',
  'GET /up HTTP/1.1 odd',
  'PRI * HTTP/2.0',
  '\x16\x03\x01',
];

test('HTTP: malformed headers and request lines are answered as recorded', async (context) => {
  const requests = REQUEST_LINES.flatMap((requestLine) =>
    MALFORMED_HEADERS.map(([title, lines, body]): [string, Buffer] => [
      `${requestLine}, ${title}`,
      rawRequest([requestLine, ...lines], body),
    ]),
  );
  for (const requestLine of MALFORMED_REQUEST_LINES)
    requests.push([JSON.stringify(requestLine), rawRequest([requestLine, 'Host: c'])]);
  compareWithRecorded('headers', await responsesTo(context, requests));
});
