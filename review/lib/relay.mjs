/**
 * A relay between the controllers and one worker, as a piece of network: it passes requests and answers on, and keeps what it
 * passed, so that a request that was carried out can be repeated.
 */
import { call, serve } from './http.mjs';

export class Relay {
  passed = [];
  /** (request) => an answer, a promise of one, or undefined: passed on as usual */
  gate = null;

  constructor(target) {
    this.target = target;
  }

  async listen(host) {
    ({ server: this.server, address: this.address } = await serve((request) => this.pass(request), host));
    return this.address;
  }

  async pass({ method, path, query, body, from }) {
    const early = await this.gate?.({ method, path, query, body, from });
    if (early !== undefined) return early;
    const search = [...query].length > 0 ? `?${query}` : '';
    const answer = await call(this.target, method, path + search, method === 'GET' ? undefined : body, { timeoutMs: 70_000 });
    this.passed.push({ at: Date.now(), method, path, body, status: answer?.status ?? null });
    return answer;
  }

  /** Sends a request that was passed on before once more. */
  repeat({ method, path, body }) {
    return call(this.target, method, path, body, { timeoutMs: 2500 });
  }

  close() {
    this.server?.close();
    this.server?.closeAllConnections();
  }
}
