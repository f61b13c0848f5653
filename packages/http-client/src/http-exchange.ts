/**
 * One HTTP request and what came of it. A caller has to know whether a request that failed may still be carried out, so an
 * exchange follows its socket: before it is connected nothing can have left this machine.
 */
import http from 'node:http';
import { monotonicMs } from './clock.js';

/** How a call ended. A call never fails otherwise. */
export type CallOutcome =
  | { kind: 'answer'; status: number; body: Buffer }
  /** nothing left this machine: the request can't be carried out later */
  | { kind: 'refused' }
  /** no answer: it may have been carried out, or may be yet */
  | { kind: 'lost' };

/** A request; with a body, which is MessagePack, it says so in its head. */
export interface HttpCall {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: Buffer;
  timeoutMs: number;
}

/** Where a request goes, and by whose connections. */
export interface HttpEndpoint {
  agent: http.Agent;
  host: string;
  port: number;
}

/** Timers that fire so much later than asked for: this process stood still, or had no processor. */
const LATE_TIMER_MS = 250;

const CONTENT_TYPE = 'application/msgpack';

/** Owns its request and its timer: both end with the outcome, which is told once. */
export class HttpExchange {
  private readonly request: http.ClientRequest;
  private readonly deadline: number;
  private timer: NodeJS.Timeout;
  /** the connection stood, so the request may have left this machine */
  private isSent = false;
  private isSettled = false;

  /** Sends the request at once. */
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

  /** A timer that fires late has been waited for by answers too: they are looked at first. */
  private handleTimeout(): void {
    if (monotonicMs() - this.deadline > LATE_TIMER_MS) this.timer = setTimeout(this.fail, LATE_TIMER_MS);
    else this.fail();
  }

  private handleConnect(): void {
    // This process stood still while it connected: what it wanted to say is out of date.
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
      this.settle({ kind: 'answer', status: response.statusCode ?? 0, body });
    });
  }

  private readonly fail = (): void => {
    this.settle(this.isSent ? { kind: 'lost' } : { kind: 'refused' });
    this.request.destroy();
  };

  private settle(outcome: CallOutcome): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearTimeout(this.timer);
    this.onOutcome(outcome);
  }
}
