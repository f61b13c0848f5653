/**
 * The listening server. It looks at how each connection begins, serves those that begin with a heartbeat itself, and
 * leaves all others to Node's HTTP server.
 */
import http from 'node:http';
import net from 'node:net';
import { HeartbeatConnection, IDLE_TIMEOUT_MS, REQUEST_TIMEOUT_MS, startsHeartbeat } from './heartbeat-connection.js';

/** What the listener hands on. */
export interface HttpListenerOptions {
  /** a heartbeat has come; null: its body is too large */
  onHeartbeat(connection: HeartbeatConnection, body: Buffer | null): void;
  /** any other request */
  onOtherRequest(request: http.IncomingMessage, response: http.ServerResponse): void;
}

/** Owns the listening socket, Node's HTTP server behind it, and every connection that either has. */
export class HttpListener {
  /** every connection comes here first */
  readonly server: net.Server;
  private readonly httpServer: http.Server;
  private readonly openSockets = new Set<net.Socket>();

  /** @param requestTimeoutMs a connection that says nothing, or whose request is not whole, after so long is closed */
  constructor(
    private readonly options: HttpListenerOptions,
    private readonly requestTimeoutMs = REQUEST_TIMEOUT_MS,
  ) {
    this.httpServer = http.createServer({ connectionsCheckingInterval: requestTimeoutMs / 2 }, options.onOtherRequest);
    this.httpServer.keepAliveTimeout = IDLE_TIMEOUT_MS;
    this.httpServer.requestTimeout = requestTimeoutMs;
    this.httpServer.headersTimeout = requestTimeoutMs;
    this.httpServer.timeout = IDLE_TIMEOUT_MS;
    // It never listens itself; Node begins to look for requests that are not whole with this event.
    this.httpServer.emit('listening');
    this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  /** Listens no more, and ends every connection. */
  close(): void {
    this.server.close();
    this.httpServer.close();
    for (const socket of this.openSockets) socket.destroy();
  }

  /** Waits for the first bytes of a connection, which say whose it is. */
  private accept(socket: net.Socket): void {
    this.openSockets.add(socket);
    socket.once('close', () => this.openSockets.delete(socket));
    const destroy = () => socket.destroy();
    socket.on('error', destroy);
    socket.setTimeout(this.requestTimeoutMs, destroy);
    socket.once('data', (chunk: Buffer) => {
      socket.off('error', destroy);
      socket.off('timeout', destroy);
      if (startsHeartbeat(chunk)) this.attachHeartbeatConnection(socket, chunk);
      else this.handOverToHttpServer(socket, chunk);
    });
  }

  private attachHeartbeatConnection(socket: net.Socket, chunk: Buffer): void {
    const connection = new HeartbeatConnection(socket, {
      onHeartbeat: (from, body) => this.options.onHeartbeat(from, body),
      onOtherRequest: (detached, first) => this.handOverToHttpServer(detached, first),
    });
    connection.receive(chunk);
  }

  private handOverToHttpServer(socket: net.Socket, chunk: Buffer): void {
    socket.pause();
    socket.setTimeout(0);
    socket.unshift(chunk);
    this.httpServer.emit('connection', socket);
    // Its parser reads what was put back before anything new.
    process.nextTick(() => socket.resume());
  }
}
