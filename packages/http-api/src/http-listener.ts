/**
 * The listening server. The first bytes of a connection determine how it is served: by a `HeartbeatConnection` if they begin
 * a heartbeat, by Node's HTTP server otherwise.
 */
import http from 'node:http';
import net from 'node:net';
import {
  BAD_REQUEST_RESPONSE,
  HeartbeatConnection,
  IDLE_TIMEOUT_MS,
  isHeartbeatStart,
  REQUEST_TIMEOUT_MS,
} from './heartbeat-connection.js';
import { isHeadWellFormed } from './request-head.js';

/** Callbacks of the listener. */
export interface HttpListenerOptions {
  /** called when a complete heartbeat was received; `body`: null if it is too large */
  onHeartbeat(connection: HeartbeatConnection, body: Buffer | null): void;
  /** called with any other request */
  onOtherRequest(request: http.IncomingMessage, response: http.ServerResponse): void;
}

/** Owns the listening socket, Node's HTTP server behind it, and all of their connections. */
export class HttpListener {
  /** accepts all connections */
  readonly server: net.Server;
  private readonly httpServer: http.Server;
  private readonly openSockets = new Set<net.Socket>();

  /** @param requestTimeoutMs a connection is closed if it doesn't deliver a complete request within this time */
  constructor(
    private readonly options: HttpListenerOptions,
    private readonly requestTimeoutMs = REQUEST_TIMEOUT_MS,
  ) {
    this.httpServer = http.createServer({ connectionsCheckingInterval: requestTimeoutMs / 2 }, (request, response) => {
      if (isHeadWellFormed(request)) options.onOtherRequest(request, response);
      else request.socket.end(BAD_REQUEST_RESPONSE);
    });
    this.httpServer.keepAliveTimeout = IDLE_TIMEOUT_MS;
    this.httpServer.requestTimeout = requestTimeoutMs;
    this.httpServer.headersTimeout = requestTimeoutMs;
    this.httpServer.timeout = IDLE_TIMEOUT_MS;
    // The HTTP server doesn't listen itself, but Node starts its check for incomplete requests only on this event.
    this.httpServer.emit('listening');
    this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  /** Stops listening and destroys every connection. */
  close(): void {
    this.server.close();
    this.httpServer.close();
    for (const socket of this.openSockets) socket.destroy();
  }

  /** Waits for the first bytes of a connection, which determine how it is served. */
  private accept(socket: net.Socket): void {
    this.openSockets.add(socket);
    socket.once('close', () => this.openSockets.delete(socket));
    const destroy = () => socket.destroy();
    socket.on('error', destroy);
    socket.setTimeout(this.requestTimeoutMs, destroy);
    socket.once('data', (chunk: Buffer) => {
      socket.off('error', destroy);
      socket.off('timeout', destroy);
      if (isHeartbeatStart(chunk)) this.attachHeartbeatConnection(socket, chunk);
      else this.transferToHttpServer(socket, chunk);
    });
  }

  private attachHeartbeatConnection(socket: net.Socket, chunk: Buffer): void {
    const connection = new HeartbeatConnection(socket, {
      onHeartbeat: (sender, body) => this.options.onHeartbeat(sender, body),
      onOtherRequest: (detachedSocket, firstChunk) => this.transferToHttpServer(detachedSocket, firstChunk),
    });
    connection.receive(chunk);
  }

  private transferToHttpServer(socket: net.Socket, chunk: Buffer): void {
    socket.pause();
    socket.setTimeout(0);
    socket.unshift(chunk);
    this.httpServer.emit('connection', socket);
    // The HTTP server's parser reads the unshifted chunk before new data.
    process.nextTick(() => socket.resume());
  }
}
