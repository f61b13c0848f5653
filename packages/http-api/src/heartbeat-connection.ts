/**
 * A connection on which a worker sends heartbeats, by far the most frequent requests. Node's HTTP server would take 1.5 times
 * as much CPU time per request, because it creates streams for each request and response. This class passes received bytes
 * directly to the parser, and sends a response with a single write.
 */
import type net from 'node:net';
import { BodyBuffer, MAX_BODY_BYTES, PATHS } from '@archpost/protocol';
import { HTTPParser } from 'http-parser-js';
import { hasUnambiguousLength } from './body-framing.js';
import { encodeResponse, type HttpResponse, type Responder } from './responder.js';

/** The request line of a heartbeat. Requests with another first line are served by Node's HTTP server. */
const HEARTBEAT_REQUEST_LINE = Buffer.from(`POST ${PATHS.heartbeat} HTTP/1.1\r\n`, 'latin1');

/** The connection is closed if a request isn't complete, or its response isn't sent, within this time. */
export const REQUEST_TIMEOUT_MS = 10_000;

/** The connection is closed after this time without a new request. */
export const IDLE_TIMEOUT_MS = 75_000;

/** Reports whether a request's first chunk begins with the whole request line of a heartbeat; a partial line doesn't match. */
export function isHeartbeatStart(chunk: Buffer): boolean {
  const { length } = HEARTBEAT_REQUEST_LINE;
  return chunk.length >= length && chunk.compare(HEARTBEAT_REQUEST_LINE, 0, length, 0, length) === 0;
}

/** The response to a request that can't be parsed, the same as that of Node's HTTP server. */
export const BAD_REQUEST_RESPONSE = 'HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n';

/** Callbacks of a connection. */
export interface HeartbeatConnectionOptions {
  /** called when a complete heartbeat was received; the callee responds by `connection.send`. `body`: null if it is too large */
  onHeartbeat(connection: HeartbeatConnection, body: Buffer | null): void;
  /** called with the first chunk of a request that is no heartbeat; the connection has released the socket */
  onOtherRequest(socket: net.Socket, chunk: Buffer): void;
}

/** Owns its socket until the socket closes or is transferred to Node's HTTP server. */
export class HeartbeatConnection implements Responder {
  private readonly parser = new HTTPParser(HTTPParser.REQUEST);
  private readonly body = new BodyBuffer(MAX_BODY_BYTES);
  private state: 'idle' | 'reading' | 'responding' | 'rejected' = 'idle';
  /** whether the current request requires that the connection is closed after its response (`Connection: close`) */
  private isCloseRequested = false;
  private disconnectListener: (() => void) | null = null;

  constructor(
    readonly socket: net.Socket,
    private readonly options: HeartbeatConnectionOptions,
  ) {
    const { parser } = this;
    parser[HTTPParser.kOnHeaders] = () => {};
    parser[HTTPParser.kOnHeadersComplete] = ({ headers, shouldKeepAlive }) => {
      this.isCloseRequested = !shouldKeepAlive;
      if (!hasUnambiguousLength(headers)) this.reject();
    };
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => {
      if (this.state !== 'rejected') this.body.append(chunk.subarray(offset, offset + length));
    };
    parser[HTTPParser.kOnMessageComplete] = () => this.completeRequest();
    socket.on('data', this.receive);
    socket.on('close', this.handleClose);
    socket.on('error', this.destroy);
    socket.on('timeout', this.destroy);
  }

  /** Processes bytes from the socket. The creator of this object calls it with the first chunk, which it has already read. */
  readonly receive = (chunk: Buffer): void => {
    // Workers don't pipeline requests (PROTOCOL), so this client isn't a worker.
    if (this.state === 'responding') return this.destroy();
    if (this.state === 'rejected') return;
    if (this.state === 'idle') {
      if (!isHeartbeatStart(chunk)) return this.detach(chunk);
      this.state = 'reading';
      this.socket.setTimeout(REQUEST_TIMEOUT_MS);
    }
    if (typeof this.parser.execute(chunk) !== 'number') this.reject();
  };

  /** Calls the listener when the client disconnects before the response. */
  onDisconnect(listener: () => void): void {
    this.disconnectListener = listener;
  }

  /** Writes the response, and closes the connection if the request or the response requires it. */
  send(response: HttpResponse): void {
    const { socket } = this;
    this.disconnectListener = null;
    if (socket.destroyed || this.state !== 'responding') return;
    const closeConnection = response.closeConnection || this.isCloseRequested;
    const bytes = encodeResponse(response, closeConnection);
    if (closeConnection) {
      socket.end(bytes);
      return;
    }
    socket.write(bytes);
    socket.setTimeout(IDLE_TIMEOUT_MS);
    this.state = 'idle';
  }

  /** Rejects a malformed request and closes the connection, because the start of the next request is unknown. */
  private reject(): void {
    if (this.state === 'rejected') return;
    this.state = 'rejected';
    this.body.clear();
    this.socket.end(BAD_REQUEST_RESPONSE);
  }

  private completeRequest(): void {
    if (this.state === 'rejected') return;
    if (this.state === 'responding') return this.destroy();
    this.state = 'responding';
    this.options.onHeartbeat(this, this.body.take());
  }

  /** Releases the socket, so that Node's HTTP server can serve the request that begins with this chunk. */
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
