// Whatever is malformed is refused, or read, exactly as it was recorded in test/recorded/malformed-input.json: requests of
// users and workers (status, headers and bytes of the answer), settings files (the line that operators see, and the exit
// code), frames and messages between controllers, and answers of the state service, the cloud and workers.
// `UPDATE_TRACES=1` records anew. Internal interfaces are used only in the section "The code under test".
import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { existsSync, mkdirSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { type TestContext, test } from 'node:test';
import { type ApiRequest, HttpApi, LoadShedder } from '@archpost/http-api';
import { encodeFrame, FrameReader } from '@archpost/peer-transport';
import {
  decodePeerMessage,
  encodePeerMessage,
  isLeaseNotFound,
  pack,
  parseChanges,
  parseFailedKeys,
  parseHeartbeat,
  parseLease,
  parseMachineList,
  parseMachineTypes,
  parseProvisionedMachines,
  parseRevision,
  parseRows,
  unpack,
  unpackMap,
} from '@archpost/protocol';
import { stringify } from 'smol-toml';
import { loadSettings } from '../packages/server/src/settings/load-settings.js';
import { SettingsError } from '../packages/server/src/settings/settings-error.js';
import { type SimulatedCluster, STATUS, smallCluster } from './simulation/index.js';

// ---- The code under test: all uses of internal interfaces but the functions that decode single bodies.

/** Identifiers of requests to a controller in a simulated cluster: beyond those that the stand-ins give themselves. */
const FIRST_REQUEST_ID = 1_000_000;

/** Simulated seconds after which a request that has no answer fails the test. */
const ANSWER_WITHIN_S = 10;

/** Hands a request to a controller of a simulated cluster and lets time pass there until it is answered. */
function handOver(cluster: SimulatedCluster, request: ApiRequest, isAnswered: () => boolean): void {
  const { controller: core } = cluster.controller('n0');
  const id = FIRST_REQUEST_ID + request.id;
  const { now } = cluster;
  if (request.kind === 'heartbeat') core.receiveHeartbeat(id, request.heartbeat, now);
  else if (request.kind === 'submit') core.submitJob(id, request.body, now, now);
  else if (request.kind === 'statusQuery') core.queryJobStatus(id, request.job, now);
  else core.cancelJob(id, request.job, now);
  cluster.controller('n0').run();
  cluster.runUntil(`an answer to ${request.kind}`, isAnswered, ANSWER_WITHIN_S);
}

/** Opens the HTTP interface of a controller with four machines in a simulated cluster; returns its port. */
async function openController(context: TestContext): Promise<number> {
  const cluster = smallCluster(4);
  const { controller: core } = cluster.controller('n0');
  const takeEffects = core.takeEffects.bind(core);
  const answered = new Set<number>();
  const api: HttpApi = new HttpApi({
    onRequest: (request) => handOver(cluster, request, () => answered.has(request.id)),
    isReady: () => true,
    loadShedder: new LoadShedder(() => 0),
  });
  core.takeEffects = () => {
    const effects = takeEffects();
    for (const effect of effects) {
      if (effect.type !== 'respond' || effect.id < FIRST_REQUEST_ID) continue;
      answered.add(effect.id - FIRST_REQUEST_ID);
      api.respond(effect.id - FIRST_REQUEST_ID, effect.status, effect.body, effect.retryAfterS);
    }
    return effects;
  };
  context.after(() => api.close());
  const server = await api.listen('127.0.0.1', 0);
  return (server.address() as net.AddressInfo).port;
}

/** The line that the program prints about its settings, and its exit code; null: they are accepted. */
function settingsRefusal(path: string, operatorPath: string | null): { line: string; exitCode: number } | null {
  try {
    loadSettings(path, operatorPath);
    return null;
  } catch (error) {
    return { line: `archpost: ${(error as Error).message}`, exitCode: error instanceof SettingsError ? 2 : 1 };
  }
}

/** Bodies of the frames in these chunks. */
function readFrames(chunks: Buffer[]): string[] {
  const reader = new FrameReader();
  return chunks.flatMap((chunk) => reader.push(chunk)).map((body) => body.toString('hex'));
}

/** The message between controllers as it is encoded again after it was read. */
const readPeerMessage = (bytes: Buffer): string => Buffer.from(encodePeerMessage(decodePeerMessage(bytes))).toString('hex');

type Body = Record<string, unknown>;

/** What reads the bodies of answers, by what answers. */
const BODY_READERS: Record<string, (body: Body) => unknown> = {
  'keys of the state service': parseRows,
  'changes of the state service': parseChanges,
  'lease of the state service': parseLease,
  'revision of a transaction': parseRevision,
  'keys that failed a transaction': parseFailedKeys,
  'error of a transaction: the lease has ended': isLeaseNotFound,
  'machine types of the cloud': parseMachineTypes,
  'machine list of the cloud': parseMachineList,
  'rented machines of the cloud': parseProvisionedMachines,
  'report in the answer of a worker': parseHeartbeat,
};

// ---- Recorded data

const RECORDED = 'test/recorded/malformed-input.json';

/** Results by the title of their input. */
type Table = Record<string, unknown>;

/** One result a line, so that a difference shows the input whose result has changed. */
function formatTables(tables: Record<string, Table>): string {
  const sections = Object.entries(tables).map(([section, table]) => {
    const rows = Object.entries(table).map(([title, result]) => `  ${JSON.stringify(title)}: ${JSON.stringify(result)}`);
    return ` ${JSON.stringify(section)}: {\n${rows.join(',\n')}\n }`;
  });
  return `{\n${sections.join(',\n')}\n}\n`;
}

function readRecorded(): Record<string, Table> {
  return existsSync(RECORDED) ? JSON.parse(readFileSync(RECORDED, 'utf8')) : {};
}

function compareWithRecorded(section: string, measured: Table): void {
  if (process.env.UPDATE_TRACES === '1') {
    mkdirSync('test/recorded', { recursive: true });
    writeFileSync(RECORDED, formatTables({ ...readRecorded(), [section]: measured }));
  }
  const recorded = readRecorded()[section];
  assert.ok(recorded, `${RECORDED} has no section ${section}`);
  assert.deepEqual(Object.keys(measured), Object.keys(recorded), 'the same inputs in the same order');
  for (const [title, result] of Object.entries(measured))
    assert.equal(JSON.stringify(result), JSON.stringify(recorded[title]), title);
}

// ---- Malformed values

const OMITTED = Symbol('omitted');

/** Values of all types; most are wrong for most fields. */
const VALUES: [string, unknown][] = [
  ['omitted', OMITTED],
  ['null', null],
  ['an empty text', ''],
  ['a text', 'text'],
  ['0', 0],
  ['-1', -1],
  ['1.5', 1.5],
  ['1e300', 1e300],
  ['not a number', Number.NaN],
  ['true', true],
  ['an empty list', []],
  ['a list of a number', [7]],
  ['an empty map', {}],
  ['bytes', new Uint8Array([1, 2])],
];

function withField(map: Body, field: string, value: unknown): Body {
  const { [field]: _, ...others } = map;
  return value === OMITTED ? others : { ...others, [field]: value };
}

// ---- HTTP

const SUBMISSION = {
  ref: 'run-a',
  jobclass: 'batch',
  crew: 'red',
  shape: 'sweep',
  rank: 'standard',
  pieces: 1,
  cores: 2,
  accelerators: 0,
  memory_gb: 4,
  bundle: 'img',
  size_gb: 1,
  builds: null,
  yard: null,
  one_zone: false,
  spread: false,
  loaners: false,
  guess_s: 10,
  snapshot_s: 0,
  stow_s: 0,
  due_s: null,
  awaits: null,
};

const TASK = { piece: 'run-a/0', try: 1, status: 'running', cause: null, saved: false };

const REPORT = {
  host: 'n-1',
  address: '1.2.3.4:5',
  build: 'small',
  yard: 'east',
  loaners: false,
  shift: 1,
  tally: 1,
  baton: null,
  warning_s: null,
  pieces: [],
};

const LONGEST_BODY = 64 * 1024;
const PATIENCE_MS = 20_000;

/** The end of a body in chunks, with which Node itself answers at times. */
const LAST_CHUNK = '0\r\n\r\n';

function request(method: string, path: string, body: Uint8Array = Buffer.alloc(0), headers: string[] = []): Buffer {
  const lines = [`${method} ${path} HTTP/1.1`, 'Host: c', ...headers, `Content-Length: ${body.length}`];
  return Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1'), body]);
}

/** A request whose head is given line by line. */
const rawRequest = (lines: string[], body: Uint8Array = Buffer.alloc(0)): Buffer =>
  Buffer.concat([Buffer.from(`${lines.join('\r\n')}\r\n\r\n`, 'latin1'), body]);

/** An answer as it is recorded: without its date. */
interface Reply {
  status: string;
  headers: string[];
  body: string;
  decoded: unknown;
}

function decoded(body: Buffer): unknown {
  try {
    return unpack(body);
  } catch {
    return body.toString('latin1');
  }
}

/** The answer, once it is whole; null: more is to come. */
function parseReply(bytes: Buffer, hasBody: boolean, isClosed: boolean): Reply | null {
  const end = bytes.indexOf('\r\n\r\n');
  if (end < 0) return null;
  const [status, ...headers] = bytes.subarray(0, end).toString('latin1').split('\r\n');
  const rest = bytes.subarray(end + 4);
  if (status?.includes(' 100 ')) return parseReply(rest, hasBody, isClosed);
  const length = headers.map((line) => /^content-length: (\d+)$/i.exec(line)?.[1]).find((each) => each !== undefined);
  const isWhole = length === undefined ? isClosed || rest.toString('latin1').endsWith(LAST_CHUNK) : rest.length >= Number(length);
  if (hasBody && !isWhole) return null;
  return {
    status: status as string,
    headers: headers.filter((line) => !/^date:/i.test(line)),
    body: rest.toString('hex'),
    decoded: decoded(rest),
  };
}

/** Sends bytes on a new connection; the first answer, or that the connection was closed without one. */
function exchange(port: number, bytes: Buffer): Promise<Reply | 'closed without an answer'> {
  const hasBody = !bytes.subarray(0, 5).equals(Buffer.from('HEAD '));
  return new Promise((resolve, reject) => {
    let received = Buffer.alloc(0);
    const socket = net.connect(port, '127.0.0.1', () => socket.write(bytes));
    const end = (reply: Reply | 'closed without an answer') => {
      socket.destroy();
      resolve(reply);
    };
    socket.setTimeout(PATIENCE_MS, () => reject(new Error(`no answer to ${bytes.subarray(0, 60).toString('latin1')}`)));
    socket.on('error', () => {});
    socket.on('data', (chunk: Buffer) => {
      received = Buffer.concat([received, chunk]);
      const reply = parseReply(received, hasBody, false);
      if (reply) end(reply);
    });
    socket.on('close', () => end(parseReply(received, hasBody, true) ?? 'closed without an answer'));
  });
}

/** The answers of one new controller to these requests, one after the other. */
async function answersTo(context: TestContext, requests: [string, Buffer][]): Promise<Table> {
  const port = await openController(context);
  const table: Table = {};
  for (const [title, bytes] of requests) {
    assert.ok(!(title in table), `two requests are called ${title}`);
    table[title] = await exchange(port, bytes);
  }
  return table;
}

const METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'HEAD', 'OPTIONS', 'BREW', 'post'];
const PATHS_ASKED = [
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
  const requests = PATHS_ASKED.flatMap((path) =>
    METHODS.map((method): [string, Buffer] => [`${method} ${path}`, request(method, path)]),
  );
  compareWithRecorded('paths and methods', await answersTo(context, requests));
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
  compareWithRecorded('job names', await answersTo(context, requests));
});

const BODIES: [string, Uint8Array][] = [
  ['empty', Buffer.alloc(0)],
  ['never used in MessagePack', Buffer.from('c1', 'hex')],
  ['JSON', Buffer.from('{"ref":"run-a"}')],
  ['nil', pack(null)],
  ['a number', pack(7)],
  ['a text', pack('text')],
  ['a list', pack([])],
  ['a list of a map', pack([{}])],
  ['bytes', pack(new Uint8Array([1, 2]))],
  ['an extension', Buffer.from('d4010a', 'hex')],
  ['a time', Buffer.from('d6ff00000000', 'hex')],
  ['an empty map', pack({})],
  ['a truncated map', Buffer.from('81a3726566', 'hex')],
  ['a map of which the end is missing', Buffer.from('82a3726566a572756e2d61', 'hex')],
  ['a map followed by a byte', Buffer.from('8000', 'hex')],
  ['a map with a number for a key', Buffer.from('810102', 'hex')],
  ['a map with a map for a key', Buffer.from('818002', 'hex')],
  ['a map with the key __proto__', Buffer.from('81a95f5f70726f746f5f5f80', 'hex')],
  ['a map that claims to be huge', Buffer.from('dfffffffff', 'hex')],
  ['a list that claims to be huge', Buffer.from('ddffffffff', 'hex')],
  ['a text that claims to be huge', Buffer.from('dbffffffff', 'hex')],
  ['a text that is not UTF-8', Buffer.from('81a3726566a2ff80', 'hex')],
  ['nested deeply', Buffer.concat([Buffer.alloc(20_000, 0x91), Buffer.from('c0', 'hex')])],
  ['as large as allowed, no map', Buffer.alloc(LONGEST_BODY)],
  ['a byte larger than allowed', Buffer.alloc(LONGEST_BODY + 1)],
  ['four times as large as allowed', Buffer.alloc(4 * LONGEST_BODY)],
];

test('HTTP: a body that is empty, too large or no MessagePack map is answered as recorded', async (context) => {
  const requests = BODIES.flatMap(([title, body]): [string, Buffer][] => [
    [`submission: ${title}`, request('POST', '/v2/runs', body)],
    [`report: ${title}`, request('POST', '/checkin', body)],
    [`report, path with a query: ${title}`, request('POST', '/checkin?a=b', body)],
    [
      `report, header in front of which is a line: ${title}`,
      Buffer.concat([Buffer.from('\r\n'), request('POST', '/checkin', body)]),
    ],
  ]);
  compareWithRecorded('bodies', await answersTo(context, requests));
});

/** Values that are wrong in a way of their own. */
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
  const ofAllTypes = Object.keys(SUBMISSION).flatMap((field) =>
    VALUES.map(([title, value]): [string, string, unknown] => [`${field}: ${title}`, field, value]),
  );
  const ofTheirOwn = SUBMISSION_VALUES.map(([field, value], index): [string, string, unknown] => [
    `${field}, special ${index}`,
    field,
    value,
  ]);
  const requests = [...ofAllTypes, ...ofTheirOwn].map(([title, field, value], row): [string, Buffer] => [
    title,
    submissionWith(field, value, row),
  ]);
  requests.push(
    ['two wrong fields: the first is named', request('POST', '/v2/runs', pack({ ...SUBMISSION, stow_s: 'x', crew: 7 }))],
    ['it awaits itself', request('POST', '/v2/runs', pack({ ...SUBMISSION, ref: 'run-self', awaits: ['run-self'] }))],
    ['fields that are unknown', request('POST', '/v2/runs', pack({ ...SUBMISSION, ref: 'run-more', more: 1 }))],
  );
  compareWithRecorded('submissions', await answersTo(context, requests));
});

/** Each request comes from a machine of its own: the controller would remember the one before. */
const reportWith = (field: string, value: unknown, row: number): Buffer =>
  request('POST', '/checkin', pack(withField({ ...REPORT, host: `n-${row}` }, field, value)));

function reportWithTask(field: string, value: unknown, row: number): Buffer {
  const pieces = [withField(TASK, field, value)];
  return request('POST', '/checkin', pack({ ...REPORT, host: `t-${row}`, pieces }));
}

const REPORT_VALUES: [string, unknown][] = [
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
  for (const field of Object.keys(REPORT))
    for (const [title, value] of VALUES) requests.push([`${field}: ${title}`, reportWith(field, value, requests.length)]);
  for (const field of Object.keys(TASK))
    for (const [title, value] of VALUES)
      requests.push([`task, ${field}: ${title}`, reportWithTask(field, value, requests.length)]);
  for (const [field, value] of REPORT_VALUES)
    requests.push([`${field}, special ${requests.length}`, reportWith(field, value, requests.length)]);
  for (const [field, value] of TASK_VALUES)
    requests.push([`task, ${field}, special ${requests.length}`, reportWithTask(field, value, requests.length)]);
  compareWithRecorded('reports', await answersTo(context, requests));
});

/** Heads that are odd, for any request with a body; the first line is put before them. */
const ODD_HEADS: [string, string[], Uint8Array][] = [
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

/**
 * Left out: a worker's connection waits ten seconds of real time for the rest of these, and is closed without an answer.
 */
const WAITS_FOR_MORE = new Set([
  'POST /checkin HTTP/1.1, a length that is no number',
  'POST /checkin HTTP/1.1, a negative length',
]);

const FIRST_LINES = ['POST /v2/runs HTTP/1.1', 'POST /v2/runs HTTP/1.0', 'POST /checkin HTTP/1.1', 'POST /checkin HTTP/1.0'];
const ODD_FIRST_LINES = [
  'GET /up',
  'GET /up HTTP/3.0',
  'GET  /up HTTP/1.1',
  'GET /up HTTP/1.1 odd',
  'PRI * HTTP/2.0',
  '\x16\x03\x01',
];

test('HTTP: odd headers and first lines are answered as recorded', async (context) => {
  const ofAllHeads = FIRST_LINES.flatMap((first) =>
    ODD_HEADS.map(([title, lines, body]): [string, Buffer] => [`${first}, ${title}`, rawRequest([first, ...lines], body)]),
  );
  const requests = ofAllHeads.filter(([title]) => !WAITS_FOR_MORE.has(title));
  for (const first of ODD_FIRST_LINES) requests.push([JSON.stringify(first), rawRequest([first, 'Host: c'])]);
  compareWithRecorded('headers', await answersTo(context, requests));
});

// ---- Settings

const SETTINGS = {
  host_name: 'a',
  location: 'east',
  public_addr: '10.0.0.1:8080',
  peer_listen: '10.0.0.1:8081',
  others: [{ host_name: 'b', location: 'west', peer_addr: '10.0.0.2:8081' }],
  external: { cloud: '10.2.0.2:8443', state: '10.2.0.1:2379' },
  params: {
    initial_size: 2,
    zones: ['east', 'west'],
    clock_error_ms: 5,
    teams: [{ name: 'red', cpus: 0, cpus_max: 0, gpus: 8, gpus_max: 24 }],
    objectives: [{ kind: 'wait', class: 'serve', within_s: 5, after_s: 1, share: 0.95, most: 3, times: 2 }],
    workers: { report_s: 2, lease_s: 12, gang_wait_s: 40, gang_peer_s: 4, cancel_s: 37 },
    state: { rps: 100, write_rps: 20, value_kb: 16, txn_ops: 12, next: { rps: 90, write_rps: 15, value_kb: 8, txn_ops: 6 } },
    cloud: { rps: 6, list_lag_s: 5 },
    machine_limits: { cpu_share: 0.136, mem_mb: 178, max_sockets: 1200 },
  },
};

type Path = (string | number)[];

/** All places in a tree: tables, lists and fields. */
function placesIn(tree: unknown, at: Path = []): Path[] {
  if (typeof tree !== 'object' || tree === null) return [at];
  const inside = Object.entries(tree).flatMap(([key, value]) =>
    placesIn(value, [...at, Array.isArray(tree) ? Number(key) : key]),
  );
  return at.length === 0 ? inside : [at, ...inside];
}

/** A copy of the tree with another value at this place. */
function withValue(tree: unknown, [key, ...deeper]: Path, value: unknown): unknown {
  if (key === undefined) return value;
  const copy = structuredClone(tree) as Record<string | number, unknown>;
  const replaced = withValue(copy[key], deeper, value);
  if (replaced !== OMITTED) copy[key] = replaced;
  else if (Array.isArray(copy)) copy.splice(Number(key), 1);
  else delete copy[key];
  return copy;
}

const TOML_VALUES: [string, unknown][] = [
  ['omitted', OMITTED],
  ['an empty text', ''],
  ['a text', 'text'],
  ['0', 0],
  ['-1', -1],
  ['1.5', 1.5],
  ['1e300', 1e300],
  ['not a number', Number.NaN],
  ['infinite', Number.POSITIVE_INFINITY],
  ['true', true],
  ['an empty list', []],
  ['a list of a number', [7]],
  ['an empty table', {}],
];

const directory = mkdtempSync(join(tmpdir(), 'archpost-malformed-'));

function file(name: string, text: string | Uint8Array): string {
  const path = join(directory, name);
  writeFileSync(path, text);
  return path;
}

/** The result with the directory of the test taken out of its line. */
function withoutDirectory<T>(result: T): T {
  return JSON.parse(JSON.stringify(result).replaceAll(`${directory}/`, ''));
}

const GOOD_SETTINGS = stringify(SETTINGS);

const refusalOf = (text: string | Uint8Array): unknown => withoutDirectory(settingsRefusal(file('settings.toml', text), null));

test('settings: each table and field that is missing or wrong is refused with the recorded line', () => {
  const table: Table = { 'good settings': refusalOf(GOOD_SETTINGS) };
  for (const place of placesIn(SETTINGS))
    for (const [title, value] of TOML_VALUES)
      table[`${place.join('.')}: ${title}`] = refusalOf(stringify(withValue(SETTINGS, place, value)));
  compareWithRecorded('settings', table);
});

const IMPOSSIBLE: [string, Path, unknown][] = [
  ['cancel_s that leaves nothing', ['params', 'workers', 'cancel_s'], 16.5],
  ['cancel_s that leaves just enough', ['params', 'workers', 'cancel_s'], 17],
  ['lease_s beyond cancel_s', ['params', 'workers', 'lease_s'], 60],
  ['write_rps below the number of controllers', ['params', 'state', 'write_rps'], 1.9],
  ['rps below four for each controller', ['params', 'state', 'rps'], 7.9],
  ['value_kb below a record', ['params', 'state', 'value_kb'], 1.9],
  ['write_rps to come below the number of controllers', ['params', 'state', 'next', 'write_rps'], 1.9],
  ['rps to come below four for each controller', ['params', 'state', 'next', 'rps'], 7.9],
  ['value_kb to come below a record', ['params', 'state', 'next', 'value_kb'], 1.9],
  ['too little memory', ['params', 'machine_limits', 'mem_mb'], 79],
  ['too few sockets', ['params', 'machine_limits', 'max_sockets'], 40],
  ['initial_size beyond the most', ['params', 'initial_size'], 65],
  ['a controller named twice', ['others', 0, 'host_name'], 'a'],
  ['an address without a port', ['public_addr'], '10.0.0.1'],
  ['an address by name', ['external', 'cloud'], 'cloud:8443'],
  ['an address with a port of six digits', ['peer_listen'], '10.0.0.1:123456'],
  ['an address that is no IPv4 address', ['public_addr'], '999.1:1'],
  ['an IPv6 address', ['public_addr'], '[::1]:80'],
];

const UNREADABLE_TOML: [string, string | Uint8Array][] = [
  ['an empty file', ''],
  ['a comment only', '# nothing\n'],
  ['a field without a value', 'host_name = '],
  ['a text that does not end', 'host_name = "a\n'],
  ['a table that does not end', '[external\n'],
  ['a field given twice', 'host_name = "a"\nhost_name = "b"\n'],
  ['a table given twice', '[external]\n[external]\n'],
  ['a field that is a table too', 'external = 1\n[external]\n'],
  ['JSON', '{"host_name": "a"}'],
  ['YAML', 'host_name: a\n'],
  ['zero bytes', new Uint8Array(16)],
  ['not UTF-8', new Uint8Array([0xff, 0xfe, 0x61])],
  ['a number with leading zeros', 'host_name = 007\n'],
  ['a number beyond 64 bits', 'host_name = 99999999999999999999\n'],
];

test('settings: impossible limits and unreadable files are refused with the recorded line', () => {
  const table: Table = {};
  for (const [title, place, value] of IMPOSSIBLE) table[title] = refusalOf(stringify(withValue(SETTINGS, place, value)));
  for (const [title, text] of UNREADABLE_TOML) table[title] = refusalOf(text);
  table['no such file'] = withoutDirectory(settingsRefusal(join(directory, 'none.toml'), null));
  table['a directory'] = withoutDirectory(settingsRefusal(`${directory}/`, null));
  compareWithRecorded('unreadable settings', table);
});

const OPERATOR = { plan_wait_s: 10, silent_s: 7, hold: false, idle_s: 40, max_machines: 100 };

const UNREADABLE_JSON: [string, string][] = [
  ['an empty file', ''],
  ['HCL', 'hold = true\n'],
  ['a truncated map', '{"hold": true'],
  ['null', 'null'],
  ['a list', '[]'],
  ['a text', '"hold"'],
  ['an empty map', '{}'],
  ['an unknown field', '{"more": 1}'],
  ['two unknown fields', '{"more": 1, "other": 2}'],
  ['a fraction of a machine', '{"max_machines": 1.5}'],
  ['a number in a text', '{"plan_wait_s": "10"}'],
];

test("settings: an operators' file that is unreadable or has wrong types is refused with the recorded line", () => {
  const settings = file('settings.toml', GOOD_SETTINGS);
  const refusal = (text: string) => withoutDirectory(settingsRefusal(settings, file('operator.json', text)));
  const table: Table = {};
  for (const field of Object.keys(OPERATOR)) {
    for (const [title, value] of VALUES) table[`${field}: ${title}`] = refusal(JSON.stringify(withField(OPERATOR, field, value)));
  }
  for (const [title, text] of UNREADABLE_JSON) table[title] = refusal(text);
  table['no such file'] = withoutDirectory(settingsRefusal(settings, join(directory, 'none.json')));
  compareWithRecorded("operators' settings", table);
});

/** What the built program prints, and its exit code. */
function runProgram(programArguments: string[], environment: Record<string, string> = {}): unknown {
  const { stdout, stderr, status } = spawnSync(process.execPath, ['target/archpost.mjs', ...programArguments], {
    encoding: 'utf8',
    env: { ...process.env, ...environment },
  });
  return withoutDirectory({ stdout, stderr, exitCode: status });
}

test('settings: the built program prints the recorded lines and ends with the recorded code', () => {
  assert.ok(existsSync('target/archpost.mjs'), 'npm run build comes before');
  const good = file('good.toml', GOOD_SETTINGS);
  const wrong = file('wrong.toml', stringify(withValue(SETTINGS, ['params', 'workers', 'lease_s'], 'long')));
  const broken = file('broken.toml', 'host_name = ');
  const operator = file('many.json', JSON.stringify({ max_machines: 10_000 }));
  const wrongOperator = file('wrong.json', JSON.stringify({ hold: 'yes' }));
  const none = file('empty.json', '{}');
  compareWithRecorded('program', {
    'no arguments': runProgram([]),
    'an unknown option': runProgram(['--config', good, '--odd']),
    'good settings': runProgram(['--config', good, '--operator', none, '--check']),
    'settings that are short': runProgram(['--config', good, '--operator', operator, '--check']),
    'a wrong field': runProgram(['--config', wrong, '--operator', none, '--check']),
    'a wrong field, not only to be checked': runProgram(['--config', wrong, '--operator', none]),
    'no TOML': runProgram(['--config', broken, '--operator', none, '--check']),
    'no such file': runProgram(['--config', join(directory, 'none.toml'), '--check']),
    "a wrong field of the operators'": runProgram(['--config', good, '--operator', wrongOperator, '--check']),
    'an unknown level of logs': runProgram(['--config', good, '--operator', none], { LOG_LEVEL: 'odd' }),
  });
});

// ---- Frames and messages between controllers

const LARGEST_FRAME = 4 << 20;

/** What a function returns, or that it throws: its words are for logs. */
function resultOf(read: () => unknown): unknown {
  try {
    return read();
  } catch {
    return 'refused';
  }
}

const head = (length: number): string => length.toString(16).padStart(8, '0');

const FRAMES: [string, string][] = [
  ['nothing', ''],
  ['a part of a length', '000000'],
  ['an empty frame', '00000000'],
  ['two empty frames', '0000000000000000'],
  ['a truncated frame', '000000040102'],
  ['a whole frame', '000000020102'],
  ['a whole frame and a truncated one', '0000000201020000000203'],
  ['a whole frame and a byte', '00000002010200'],
  ['the largest length, nothing behind it', head(LARGEST_FRAME)],
  ['a length that is one too large', head(LARGEST_FRAME + 1)],
  ['a whole frame, then a length that is too large', `000000020102${head(LARGEST_FRAME + 1)}`],
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

/** A whole message: a status and a report. */
function wholeMessage(): Buffer {
  const heartbeat = parseHeartbeat({
    ...REPORT,
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

test('messages between controllers: a malformed one is refused or read as recorded', () => {
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

// ---- Answers of the state service, the cloud and workers

/** Good bodies of answers; each of their fields is replaced by values of all types. */
const ANSWERS: Record<string, Body> = {
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
  'report in the answer of a worker': { ...REPORT, pieces: [TASK] },
};

/** All values in a result without the names of their fields, which are internal. */
function valuesIn(result: unknown): string[] {
  const isTree = typeof result === 'object' && result !== null && !(result instanceof Uint8Array);
  return isTree ? Object.values(result).flatMap(valuesIn).sort() : [`${typeof result} ${String(result)}`];
}

/** The values that are read from a body; null: it can't be read. */
function valuesRead(read: (body: Body) => unknown, body: Body): unknown {
  return resultOf(() => {
    const result = read(body);
    return result === null ? null : valuesIn(result);
  });
}

test('answers of the state service, the cloud and workers: malformed bodies are refused or read as recorded', () => {
  const table: Table = {};
  for (const [answer, read] of Object.entries(BODY_READERS)) {
    const good = ANSWERS[answer] as Body;
    table[`${answer}: good`] = valuesRead(read, good);
    table[`${answer}: an empty map`] = valuesRead(read, {});
    for (const place of placesIn(good))
      for (const [title, value] of VALUES)
        table[`${answer}: ${place.join('.')}: ${title}`] = valuesRead(read, withValue(good, place, value) as Body);
  }
  compareWithRecorded('answers', table);
});

test('answers that are no MessagePack map are refused as recorded', () => {
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
