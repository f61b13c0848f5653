/**
 * One HTTP request and its outcome. Callers have to know whether a failed request may still be executed, so an exchange tracks
 * its socket: until the socket is connected, nothing can have been sent.
 */
import http from 'node:http';
import { BodyBuffer, MAX_RESPONSE_BYTES } from '@archpost/protocol';
import { monotonicMs } from './clock.js';

/** The outcome of a call. Calls don't throw on network failures. */
export type CallOutcome =
  /** `body`: null if it is larger than MAX_RESPONSE_BYTES */
  | { kind: 'response'; status: number; body: Buffer | null }
  /**
   * Nothing was sent, so the request can't be executed later. `isOwnDelay`: the server accepted the connection, but this process
   * was delayed and noticed it only after the deadline, so the failure is no evidence about the server.
   */
  | { kind: 'notSent'; isOwnDelay: boolean }
  /** no response: the request may have been executed, or may still be executed */
  | { kind: 'unknown' };

/** A request. Its body, if any, is MessagePack. */
export interface HttpCall {
  method: 'GET' | 'POST' | 'DELETE';
  path: string;
  body?: Buffer;
  timeoutMs: number;
}

/** The address of requests, and the agent that owns their connections. */
export interface HttpEndpoint {
  agent: http.Agent;
  host: string;
  port: number;
}

/** A timer that fires this late shows that the process was paused or got no CPU time. */
const LATE_TIMER_MS = 250;

/** Minimum fraction of the timeout left for the response if this process was delayed and sent the request late. */
const MIN_TIME_FRACTION = 0.5;

const CONTENT_TYPE = 'application/msgpack';

/** Owns its request and its timer, which end with the outcome. Reports exactly one outcome. */
export class HttpExchange {
  private readonly request: http.ClientRequest;
  private readonly deadline: number;
  private timer: NodeJS.Timeout;
  /** time at which the socket was connected: the request may have been sent since; null: the socket isn't connected */
  private sentAt: number | null = null;
  private hasConnectedLate = false;
  private isSettled = false;

  /** Sends the request. */
  constructor(
    endpoint: HttpEndpoint,
    private readonly call: HttpCall,
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
      if (!socket.connecting) this.sentAt = monotonicMs();
      else socket.once('connect', () => this.handleConnect());
    });
    this.request.on('error', this.fail);
    this.request.on('response', (response) => this.readResponse(response));
    this.request.end(call.body);
  }

  /**
   * Fails the call, or first extends the wait if this process was delayed. After a pause of the process, responses may be waiting
   * to be read, so a late timer first allows LATE_TIMER_MS to read them. Timers run before sockets are read in each iteration of
   * the event loop, so the call fails only after one more read, in `setImmediate`.
   */
  private handleTimeout(): void {
    const now = monotonicMs();
    const extendedDeadline = this.sentAt === null ? 0 : this.sentAt + MIN_TIME_FRACTION * this.call.timeoutMs;
    if (extendedDeadline > now) this.timer = setTimeout(() => this.handleTimeout(), extendedDeadline - now);
    else if (now - Math.max(this.deadline, extendedDeadline) > LATE_TIMER_MS)
      this.timer = setTimeout(() => setImmediate(this.fail), LATE_TIMER_MS);
    else this.fail();
  }

  private handleConnect(): void {
    const now = monotonicMs();
    if (now <= this.deadline) {
      this.sentAt = now;
      return;
    }
    // The process was paused while the socket connected, so the request is outdated.
    this.hasConnectedLate = true;
    this.fail();
  }

  private readResponse(response: http.IncomingMessage): void {
    const body = new BodyBuffer(MAX_RESPONSE_BYTES);
    const settle = () => this.settle({ kind: 'response', status: response.statusCode ?? 0, body: body.take() });
    response.on('data', (chunk: Buffer) => {
      body.append(chunk);
      if (!body.isTooLarge) return;
      settle();
      this.request.destroy();
    });
    response.on('error', this.fail);
    response.on('aborted', this.fail);
    response.on('end', settle);
  }

  private readonly fail = (): void => {
    this.settle(this.sentAt === null ? { kind: 'notSent', isOwnDelay: this.hasConnectedLate } : { kind: 'unknown' });
    this.request.destroy();
  };

  private settle(outcome: CallOutcome): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearTimeout(this.timer);
    this.onOutcome(outcome);
  }
}
