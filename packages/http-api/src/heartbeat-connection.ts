/**
 * A connection on which a worker reports. Reports are by far the most frequent requests, and Node's HTTP server makes a
 * stream of each request and answer, half as much processor time again as this takes. Here the parser is fed directly, and
 * an answer is one write.
 */
import type net from 'node:net';
import { MAX_BODY_BYTES, PATHS } from '@archpost/protocol';
import { HTTPParser } from 'http-parser-js';
import { encodeResponse, type HttpResponse, type Responder } from './responder.js';

/** How a report begins. What begins otherwise is no matter for this connection. */
const HEARTBEAT_REQUEST_LINE = Buffer.from(`POST ${PATHS.report} HTTP/1.1\r\n`, 'latin1');

/** A report that is not whole, or an answer that is not taken, after this long closes the connection. */
export const REQUEST_TIMEOUT_MS = 10_000;
export const IDLE_TIMEOUT_MS = 75_000;

/** Is this the beginning of a report? */
export function startsHeartbeat(chunk: Buffer): boolean {
  return (
    chunk.length >= HEARTBEAT_REQUEST_LINE.length &&
    chunk.compare(HEARTBEAT_REQUEST_LINE, 0, HEARTBEAT_REQUEST_LINE.length, 0, HEARTBEAT_REQUEST_LINE.length) === 0
  );
}

export interface HeartbeatConnectionOptions {
  /** a report is there; null: its body is too large */
  onHeartbeat(connection: HeartbeatConnection, body: Buffer | null): void;
  /** something else begins on this connection: from here on it is Node's HTTP server's */
  onOtherRequest(socket: net.Socket, chunk: Buffer): void;
}

export class HeartbeatConnection implements Responder {
  private readonly parser = new HTTPParser(HTTPParser.REQUEST);
  private bodyChunks: Buffer[] = [];
  private bodyBytes = 0;
  private state: 'idle' | 'reading' | 'answering' = 'idle';
  /** the worker closes the connection after this answer */
  private closeRequested = false;
  private disconnectListener: (() => void) | null = null;

  constructor(
    readonly socket: net.Socket,
    private readonly options: HeartbeatConnectionOptions,
  ) {
    const { parser } = this;
    parser[HTTPParser.kOnHeaders] = () => {};
    parser[HTTPParser.kOnHeadersComplete] = ({ shouldKeepAlive }) => {
      this.closeRequested = !shouldKeepAlive;
    };
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => this.appendBody(chunk.subarray(offset, offset + length));
    parser[HTTPParser.kOnMessageComplete] = () => this.completeRequest();
    socket.on('data', this.receive);
    socket.on('close', this.handleClose);
    socket.on('error', this.destroy);
    socket.on('timeout', this.destroy);
  }

  /** What has come; the first of it was read by who made this connection. */
  readonly receive = (chunk: Buffer): void => {
    // Requests are not pipelined (PROTOCOL): whoever does it all the same is no worker.
    if (this.state === 'answering') return this.destroy();
    if (this.state === 'idle') {
      if (!startsHeartbeat(chunk)) return this.detach(chunk);
      this.state = 'reading';
      this.socket.setTimeout(REQUEST_TIMEOUT_MS);
    }
    if (typeof this.parser.execute(chunk) !== 'number') this.destroy();
  };

  private appendBody(part: Buffer): void {
    this.bodyBytes += part.length;
    if (this.bodyBytes <= MAX_BODY_BYTES) this.bodyChunks.push(part);
  }

  private completeRequest(): void {
    const { bodyChunks: parts, bodyBytes: bytes } = this;
    if (this.state === 'answering') return this.destroy();
    this.state = 'answering';
    this.bodyChunks = [];
    this.bodyBytes = 0;
    if (bytes > MAX_BODY_BYTES) return this.options.onHeartbeat(this, null);
    this.options.onHeartbeat(this, parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts));
  }

  onDisconnect(gone: () => void): void {
    this.disconnectListener = gone;
  }

  send(answer: HttpResponse): void {
    const { socket } = this;
    this.disconnectListener = null;
    if (socket.destroyed || this.state !== 'answering') return;
    const bytes = encodeResponse({ ...answer, closeConnection: answer.closeConnection || this.closeRequested });
    if (answer.closeConnection || this.closeRequested) {
      socket.end(bytes);
      return;
    }
    socket.write(bytes);
    socket.setTimeout(IDLE_TIMEOUT_MS);
    this.state = 'idle';
  }

  private detach(chunk: Buffer): void {
    const { socket } = this;
    socket.off('data', this.receive);
    socket.off('close', this.handleClose);
    socket.off('error', this.destroy);
    socket.off('timeout', this.destroy);
    socket.setTimeout(0);
    this.options.onOtherRequest(socket, chunk);
  }

  private readonly handleClose = (): void => {
    const { disconnectListener } = this;
    this.disconnectListener = null;
    disconnectListener?.();
  };

  private readonly destroy = (): void => {
    this.socket.destroy();
  };
}
