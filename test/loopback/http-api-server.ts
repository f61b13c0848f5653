/** An HTTP API that listens on loopback for one test, and the heartbeat that tests send to it. */
import type net from 'node:net';
import type { TestContext } from 'node:test';
import { HttpApi, type HttpApiOptions, LoadShedder } from '@archpost/http-api';
import { pack } from '@archpost/protocol';

/** An encoded heartbeat of a machine without tasks. */
export const IDLE_HEARTBEAT = pack({
  host: 'n-1',
  address: '1.2.3.4:5',
  build: 'g8',
  yard: 'a',
  loaners: false,
  shift: 1,
  tally: 1,
  pieces: [],
});

/** An HTTP API and its port. */
export interface ListeningHttpApi {
  api: HttpApi;
  port: number;
}

/** Starts an HTTP API that by default is ready and sheds no load. It is closed after the test. */
export async function listeningHttpApi(
  context: TestContext,
  options: Pick<HttpApiOptions, 'onRequest'> & Partial<HttpApiOptions>,
): Promise<ListeningHttpApi> {
  const api = new HttpApi({ isReady: () => true, loadShedder: new LoadShedder(() => 0), ...options });
  // Registered first, so that it is closed even if `listen` fails: an open server would keep the test from ending.
  context.after(() => api.close());
  const server = await api.listen('127.0.0.1', 0);
  return { api, port: (server.address() as net.AddressInfo).port };
}
