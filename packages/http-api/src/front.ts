/**
 * The listening server: looks at how each connection begins, keeps those of workers, and leaves all others to Node's
 * HTTP server.
 */
import http from 'node:http';
import net from 'node:net';
import { IDLE_MS, MUTE_MS, ReportConnection, startsReport } from './report-connection.js';

export interface FrontOptions {
  /** a report is there; null: its body is too large */
  report(connection: ReportConnection, body: Buffer | null): void;
  /** anything else */
  request(request: http.IncomingMessage, response: http.ServerResponse): void;
}

export class Front {
  /** every connection comes here first */
  readonly server: net.Server;
  private readonly others: http.Server;
  private readonly open = new Set<net.Socket>();

  /** `muteMs`: a connection that says nothing, or whose request is not whole, after so long is closed */
  constructor(
    private readonly options: FrontOptions,
    private readonly muteMs = MUTE_MS,
  ) {
    this.others = http.createServer({ connectionsCheckingInterval: muteMs / 2 }, options.request);
    this.others.keepAliveTimeout = IDLE_MS;
    this.others.requestTimeout = muteMs;
    this.others.headersTimeout = muteMs;
    this.others.timeout = IDLE_MS;
    // It never listens itself; Node begins to look for requests that are not whole with this event.
    this.others.emit('listening');
    this.server = net.createServer({ noDelay: true }, (socket) => this.accept(socket));
  }

  private accept(socket: net.Socket): void {
    this.open.add(socket);
    socket.once('close', () => this.open.delete(socket));
    const destroy = () => socket.destroy();
    socket.on('error', destroy);
    socket.setTimeout(this.muteMs, destroy);
    socket.once('data', (chunk: Buffer) => {
      socket.off('error', destroy);
      socket.off('timeout', destroy);
      if (startsReport(chunk)) this.keep(socket, chunk);
      else this.handOver(socket, chunk);
    });
  }

  private keep(socket: net.Socket, chunk: Buffer): void {
    const connection = new ReportConnection(socket, {
      report: (on, body) => this.options.report(on, body),
      handOver: (of, first) => this.handOver(of, first),
    });
    connection.take(chunk);
  }

  private handOver(socket: net.Socket, chunk: Buffer): void {
    socket.pause();
    socket.setTimeout(0);
    socket.unshift(chunk);
    this.others.emit('connection', socket);
    // Its parser reads what was put back before anything new.
    process.nextTick(() => socket.resume());
  }

  /** Listens no more, and ends every connection. */
  close(): void {
    this.server.close();
    this.others.close();
    for (const socket of this.open) socket.destroy();
  }
}
