/**
 * One HTTP request and its outcome. Callers have to know whether a request that failed may still be carried out, so an
 * exchange watches its socket: until that is connected, nothing can have left this machine.
 */
import http from 'node:http';
import { monotonicMs } from './clock.js';

/** How a call ended. Calls don't throw for failures of the network. */
export type CallOutcome =
  | { kind: 'response'; status: number; body: Buffer }
  /** nothing left this machine: the request can't be carried out later */
  | { kind: 'notSent' }
  /** no response: it may have been carried out, or may be yet */
  | { kind: 'unknown' };

/** A request. Its body, if any, is MessagePack. */
export interface HttpCall {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: Buffer;
  timeoutMs: number;
}

/** Where requests go, and the connections that they use. */
export interface HttpEndpoint {
  agent: http.Agent;
  host: string;
  port: number;
}

/** A timer that fires this late shows that the process was paused, or had no processor. */
const LATE_TIMER_MS = 250;

const CONTENT_TYPE = 'application/msgpack';

/** Owns its request and its timer, which end with the outcome. There is exactly one outcome. */
export class HttpExchange {
  private readonly request: http.ClientRequest;
  private readonly deadline: number;
  private timer: NodeJS.Timeout;
  /** the socket was connected, so the request may have left this machine */
  private isSent = false;
  private isSettled = false;

  /** Sends the request. */
  constructor(
    endpoint: HttpEndpoint,
    call: HttpCall,
    private readonly onOutcome: (outcome: CallOutcome) => void,
  ) {
    this.request = http.request({
      agent: endpoint.agent,
      host: endpoint.host,
      port: endpoint.port,
      method: call.method,
      path: call.path,
      headers: call.body ? { 'content-type': CONTENT_TYPE, 'content-length': call.body.length } : { accept: CONTENT_TYPE },
    });
    this.deadline = monotonicMs() + call.timeoutMs;
    this.timer = setTimeout(() => this.handleTimeout(), call.timeoutMs);
    this.request.on('socket', (socket) => {
      if (!socket.connecting) this.isSent = true;
      else socket.once('connect', () => this.handleConnect());
    });
    this.request.on('error', this.fail);
    this.request.on('response', (response) => this.readResponse(response));
    this.request.end(call.body);
  }

  /** After a pause of the process responses may wait as well: a late timer gives them a moment to be read first. */
  private handleTimeout(): void {
    if (monotonicMs() - this.deadline > LATE_TIMER_MS) this.timer = setTimeout(this.fail, LATE_TIMER_MS);
    else this.fail();
  }

  private handleConnect(): void {
    // The process was paused while it connected, so the request is out of date.
    if (monotonicMs() > this.deadline) this.fail();
    else this.isSent = true;
  }

  private readResponse(response: http.IncomingMessage): void {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('error', this.fail);
    response.on('aborted', this.fail);
    response.on('end', () => {
      const first = chunks[0];
      const body = chunks.length === 1 && first ? first : Buffer.concat(chunks);
      this.settle({ kind: 'response', status: response.statusCode ?? 0, body });
    });
  }

  private readonly fail = (): void => {
    this.settle(this.isSent ? { kind: 'unknown' } : { kind: 'notSent' });
    this.request.destroy();
  };

  private settle(outcome: CallOutcome): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearTimeout(this.timer);
    this.onOutcome(outcome);
  }
}
