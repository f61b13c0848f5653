/**
 * One HTTP request and its outcome. Callers have to know whether a request that failed may still be carried out, so an
 * exchange watches its socket: until that is connected, nothing can have left this machine.
 */
import http from 'node:http';
import { monotonicMs } from './clock.js';

/** How a call ended. Calls don't throw for failures of the network. */
export type CallOutcome =
  | { kind: 'response'; status: number; body: Buffer }
  /**
   * Nothing left this machine: the request can't be carried out later. `isOwnDelay`: the other side accepted the connection, and
   * this process was too late for it, which says nothing of the other side.
   */
  | { kind: 'notSent'; isOwnDelay: boolean }
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

/** A request that was sent late, since this process was, is given at least this part of the timeout from then on. */
const MIN_TIME_FRACTION = 0.5;

const CONTENT_TYPE = 'application/msgpack';

/** Owns its request and its timer, which end with the outcome. There is exactly one outcome. */
export class HttpExchange {
  private readonly request: http.ClientRequest;
  private readonly deadline: number;
  private timer: NodeJS.Timeout;
  /** when the socket was connected, so that the request may have left this machine; null: it wasn't */
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
   * After a pause of the process responses may wait as well: a late timer gives them a moment to be read first. Timers come
   * before sockets in each turn of the event loop, so that moment ends only after sockets were read once more.
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
    // The process was paused while it connected, so the request is out of date.
    this.hasConnectedLate = true;
    this.fail();
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
