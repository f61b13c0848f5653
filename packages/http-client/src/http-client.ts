/** A client of one HTTP service. */
import http from 'node:http';
import { parseAddress } from './address.js';
import { type CallOutcome, type HttpCall, type HttpEndpoint, HttpExchange } from './http-exchange.js';

/** Calls one address over HTTP/1.1. Owns its persistent connections. Requests aren't pipelined. */
export class HttpClient {
  private readonly endpoint: HttpEndpoint;

  /**
   * @param address `IP:port`
   * @param maxSockets maximum number of open connections; further calls wait for one
   */
  constructor(address: string, maxSockets: number) {
    const agent = new http.Agent({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, scheduling: 'lifo' });
    this.endpoint = { agent, ...parseAddress(address) };
  }

  /** Sends a request and resolves with its outcome, shortly after the timeout at the latest. */
  call(call: HttpCall): Promise<CallOutcome> {
    return new Promise((resolve) => {
      new HttpExchange(this.endpoint, call, resolve);
    });
  }

  /** Ends all connections; calls that wait for a response end as `unknown` or `notSent`. */
  close(): void {
    this.endpoint.agent.destroy();
  }
}
