// Objects that own sockets, timers or loops end all of them in `close`.

import assert from 'node:assert/strict';
import net from 'node:net';
import { beforeEach, type TestContext, test } from 'node:test';
import { HttpApi, LoadShedder } from '@archpost/http-api';
import { PeerTransport } from '@archpost/peer-transport';
import { PATHS } from '@archpost/protocol';
import { StateServiceClient } from '@archpost/state-client';
import { Service } from '../packages/server/src/service.js';
import { ServiceLog } from '../packages/server/src/service-log.js';
import { CloudServer } from './loopback/cloud-server.js';
import { freeAddress } from './loopback/controller-process.js';
import { createServer, listen } from './loopback/http.js';
import { StateServer } from './loopback/state-server.js';
import { STATUS, settings } from './simulation/fixtures.js';

/** Bound on the event-loop turns until closed sockets disappear. A few turns suffice; the bound only ends a failing test. */
const MAX_TURNS = 10_000;

/** Sockets and pending connections. The two ends of a connection count separately. */
const SOCKETS = /^TCP/;
const SOCKETS_AND_TIMERS = /^(TCP|Timeout$)/;

/** Sorted names of the resources of these kinds that keep this process running. */
function activeResources(kinds: RegExp): string[] {
  return process
    .getActiveResourcesInfo()
    .filter((name) => kinds.test(name))
    .sort();
}

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Asserts that within MAX_TURNS turns no other resources are left than those in `before`. */
async function assertReleased(before: string[], kinds = SOCKETS_AND_TIMERS): Promise<void> {
  for (let turn = 0; turn < MAX_TURNS && activeResources(kinds).join() !== before.join(); turn++) await nextTurn();
  assert.deepEqual(activeResources(kinds), before);
}

// Resources that an earlier test closed may take another turn to disappear, and would otherwise be counted in `before`.
beforeEach(() => assertReleased([]));

/** Waits until the condition holds, without a time limit. */
async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

/** A state service that refuses all requests, and records their paths. */
async function refusingStateService(context: TestContext): Promise<{ address: string; paths: string[] }> {
  const paths: string[] = [];
  const server = createServer(({ path }) => {
    paths.push(path);
    return { status: 503, body: {} };
  });
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return { address: await listen(server), paths };
}

test('a state service client whose requests are refused ends its loops, calls and connections', async (context) => {
  const { address, paths } = await refusingStateService(context);
  const before = activeResources(SOCKETS_AND_TIMERS);
  const client = new StateServiceClient({ address, keyPrefix: 'a/', requestsPerS: 100, leaseMs: 5000, clockDrift: 0.002 });
  client.start();
  await waitUntil(() => paths.filter((path) => path === PATHS.keys).length >= 2 && paths.includes(PATHS.leases));
  client.close();
  await assertReleased(before);
});

test('a state service client whose calls wait for its request budget ends them', async (context) => {
  const { address, paths } = await refusingStateService(context);
  const before = activeResources(SOCKETS_AND_TIMERS);
  const client = new StateServiceClient({ address, keyPrefix: 'a/', requestsPerS: 0.01, leaseMs: 5000, clockDrift: 0.002 });
  client.start();
  const outcome = client.compareAndSwap([], []);
  await waitUntil(() => paths.includes(PATHS.leases));
  client.close();
  await assertReleased(before);
  assert.deepEqual(await outcome, { kind: 'refused' }, 'the write was not sent');
  assert.deepEqual(paths, [PATHS.leases], 'only the lease request is sent, since it does not wait for the budget');
});

test('peer transports connected in both directions end their sockets and timers', async () => {
  const before = activeResources(SOCKETS_AND_TIMERS);
  const nodes = ['n1', 'n2'];
  const addresses = [await freeAddress(), await freeAddress()];
  const peers = nodes.map((name, index) => ({ name, address: `${addresses[index]}` }));
  const transports = nodes.map((name) => new PeerTransport(peers.filter((peer) => peer.name !== name)));
  const senders = new Set<string>();
  for (const [index, transport] of transports.entries()) {
    transport.message$.subscribe(({ node }) => senders.add(node));
    await transport.listen('127.0.0.1', Number(addresses[index]?.split(':')[1]));
  }
  for (const transport of transports) transport.start();
  await waitUntil(() => {
    for (const [index, transport] of transports.entries()) {
      const node = `${nodes[index]}`;
      transport.send({ node, status: { ...STATUS, node }, heartbeat: null }, `${nodes[1 - index]}`);
    }
    return senders.size === nodes.length;
  });
  for (const transport of transports) transport.close();
  await assertReleased(before);
});

test('the HTTP interface ends its listener and all connections, whatever they wait for', async () => {
  const before = activeResources(SOCKETS_AND_TIMERS);
  const received: string[] = [];
  const api = new HttpApi({
    // Sends no response, so that the clients wait.
    onRequest: (request) => received.push(request.kind),
    isReady: () => true,
    loadShedder: new LoadShedder(() => 0),
  });
  const server = await api.listen('127.0.0.1', 0);
  const { port } = server.address() as net.AddressInfo;
  const heartbeatStart = `POST ${PATHS.heartbeat} HTTP/1.1\r\nHost: c\r\nContent-Length: 9\r\n\r\n`;
  const queries = [`GET ${PATHS.jobs}/run-000001 HTTP/1.1\r\nHost: c\r\n\r\n`, `GET ${PATHS.health} HTTP/1.1\r\nHost: c\r\n\r\n`];
  const starts = ['', 'GET', heartbeatStart, ...queries];
  let responses = 0;
  const clients = starts.map((start) => {
    const client = net.connect(port, '127.0.0.1', () => client.write(start));
    client.on('data', () => responses++);
    client.on('error', () => {});
    return client;
  });
  await waitUntil(() => api.connections.openCount === starts.length && received.length === 1 && responses === 1);
  api.close();
  await assertReleased(before);
  assert.ok(
    clients.every((client) => client.closed),
    'each client sees its connection closed',
  );
});

/** A log that records only errors. */
function errorLog(errors: unknown[]): ServiceLog {
  const ignore = () => {};
  const logger = { debug: ignore, info: ignore, warn: ignore, error: (fields: unknown) => errors.push(fields) };
  return new ServiceLog(logger as unknown as ConstructorParameters<typeof ServiceLog>[0]);
}

test('a running service ends its servers, clients and timers', async () => {
  const beforeAll = activeResources(SOCKETS_AND_TIMERS);
  const stateServer = new StateServer();
  const cloudServer = new CloudServer(() => []);
  const [stateAddress, cloudAddress] = [await stateServer.listen(), await cloudServer.listen()];
  const before = activeResources(SOCKETS);
  const publicAddress = await freeAddress();
  const errors: unknown[] = [];
  const service = new Service(
    {
      controller: settings('n0', ['n0']),
      publicAddress,
      peerAddress: await freeAddress(),
      peers: [{ name: 'n1', address: '127.0.0.1:1' }],
      cloudAddress,
      stateAddress,
      maxSockets: 1000,
      memoryMb: 1000,
    },
    errorLog(errors),
  );
  await service.start();
  const client = net.connect(Number(publicAddress.split(':')[1]), '127.0.0.1');
  client.on('error', () => {});
  // The leader's key is written with a lease, and after that the cloud is called.
  await waitUntil(() => stateServer.state.keys.has('a/h/lead') && cloudServer.requestCount > 0);
  service.close();
  await assertReleased(before, SOCKETS);
  cloudServer.close();
  // Otherwise the timers of its pending watches would be left.
  stateServer.close();
  await assertReleased(beforeAll);
  assert.deepEqual(errors, []);
});
