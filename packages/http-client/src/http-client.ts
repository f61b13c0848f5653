import http from 'node:http';
import { parseAddress } from './address.js';
import { monotonicMs } from './clock.js';

export type CallOutcome =
  | { kind: 'answer'; status: number; body: Buffer }
  /** nothing left this machine: the request can't be carried out later */
  | { kind: 'refused' }
  /** no answer: it may have been carried out, or may be yet */
  | { kind: 'lost' };

export interface HttpCall {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: Buffer;
  timeoutMs: number;
}

/** Timers that fire so much later than asked for: this process stood still, or had no processor. */
const LATE_TIMER_MS = 250;

/** HTTP/1.1 to one address, on persistent connections, never pipelined. */
export class HttpClient {
  private readonly agent: http.Agent;
  private readonly host: string;
  private readonly port: number;

  constructor(address: string, maxSockets: number) {
    const { host, port } = parseAddress(address);
    this.host = host;
    this.port = port;
    this.agent = new http.Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, scheduling: 'lifo' });
  }

  call(call: HttpCall): Promise<CallOutcome> {
    return new Promise((resolve) => {
      let isSent = false;
      let isSettled = false;
      const settle = (outcome: CallOutcome) => {
        if (isSettled) return;
        isSettled = true;
        clearTimeout(timer);
        resolve(outcome);
      };
      const request = http.request({
        agent: this.agent,
        host: this.host,
        port: this.port,
        method: call.method,
        path: call.path,
        headers: call.body
          ? { 'content-type': 'application/msgpack', 'content-length': call.body.length }
          : { accept: 'application/msgpack' },
      });
      const fail = () => {
        settle(isSent ? { kind: 'lost' } : { kind: 'refused' });
        request.destroy();
      };
      const deadline = monotonicMs() + call.timeoutMs;
      // A timer that fires late has been waited for by answers too: they are looked at first.
      let timer = setTimeout(() => {
        if (monotonicMs() - deadline > LATE_TIMER_MS) timer = setTimeout(fail, LATE_TIMER_MS);
        else fail();
      }, call.timeoutMs);
      request.on('socket', (socket) => {
        if (!socket.connecting) isSent = true;
        else
          socket.once('connect', () => {
            // This process stood still while it connected: what it wanted to say is out of date.
            if (monotonicMs() > deadline) fail();
            else isSent = true;
          });
      });
      request.on('error', fail);
      request.on('response', (response) => {
        const chunks: Buffer[] = [];
        response.on('data', (chunk: Buffer) => chunks.push(chunk));
        response.on('error', fail);
        response.on('aborted', fail);
        response.on('end', () =>
          settle({
            kind: 'answer',
            status: response.statusCode ?? 0,
            body: chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks),
          }),
        );
      });
      request.end(call.body);
    });
  }

  close(): void {
    this.agent.destroy();
  }
}
