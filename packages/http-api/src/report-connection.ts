/**
 * A connection on which a worker reports. Reports are by far the most frequent requests, and Node's HTTP server makes a
 * stream of each request and answer, half as much processor time again as this takes. Here the parser is fed directly, and
 * an answer is one write.
 */
import type net from 'node:net';
import { MAX_BODY_BYTES, PATHS } from '@archpost/protocol';
import { HTTPParser } from 'http-parser-js';
import { type Answer, encodeAnswer, type Responder } from './responder.js';

/** How a report begins. What begins otherwise is no matter for this connection. */
const REPORT_START = Buffer.from(`POST ${PATHS.report} HTTP/1.1\r\n`, 'latin1');

/** A report that is not whole, or an answer that is not taken, after this long closes the connection. */
export const MUTE_MS = 10_000;
export const IDLE_MS = 75_000;

/** Is this the beginning of a report? */
export function startsReport(chunk: Buffer): boolean {
  return chunk.length >= REPORT_START.length && chunk.compare(REPORT_START, 0, REPORT_START.length, 0, REPORT_START.length) === 0;
}

export interface ReportConnectionOptions {
  /** a report is there; null: its body is too large */
  report(connection: ReportConnection, body: Buffer | null): void;
  /** something else begins on this connection: from here on it is Node's HTTP server's */
  handOver(socket: net.Socket, chunk: Buffer): void;
}

export class ReportConnection implements Responder {
  private readonly parser = new HTTPParser(HTTPParser.REQUEST);
  private parts: Buffer[] = [];
  private bytes = 0;
  private state: 'idle' | 'reading' | 'answering' = 'idle';
  /** the worker closes the connection after this answer */
  private isLast = false;
  private gone: (() => void) | null = null;

  constructor(
    readonly socket: net.Socket,
    private readonly options: ReportConnectionOptions,
  ) {
    const { parser } = this;
    parser[HTTPParser.kOnHeaders] = () => {};
    parser[HTTPParser.kOnHeadersComplete] = ({ shouldKeepAlive }) => {
      this.isLast = !shouldKeepAlive;
    };
    parser[HTTPParser.kOnBody] = (chunk, offset, length) => this.add(chunk.subarray(offset, offset + length));
    parser[HTTPParser.kOnMessageComplete] = () => this.complete();
    socket.on('data', this.take);
    socket.on('close', this.closed);
    socket.on('error', this.destroy);
    socket.on('timeout', this.destroy);
  }

  /** What has come; the first of it was read by who made this connection. */
  readonly take = (chunk: Buffer): void => {
    // Requests are not pipelined (PROTOCOL): whoever does it all the same is no worker.
    if (this.state === 'answering') return this.destroy();
    if (this.state === 'idle') {
      if (!startsReport(chunk)) return this.leave(chunk);
      this.state = 'reading';
      this.socket.setTimeout(MUTE_MS);
    }
    if (typeof this.parser.execute(chunk) !== 'number') this.destroy();
  };

  private add(part: Buffer): void {
    this.bytes += part.length;
    if (this.bytes <= MAX_BODY_BYTES) this.parts.push(part);
  }

  private complete(): void {
    const { parts, bytes } = this;
    if (this.state === 'answering') return this.destroy();
    this.state = 'answering';
    this.parts = [];
    this.bytes = 0;
    if (bytes > MAX_BODY_BYTES) return this.options.report(this, null);
    this.options.report(this, parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts));
  }

  whenGone(gone: () => void): void {
    this.gone = gone;
  }

  send(answer: Answer): void {
    const { socket } = this;
    this.gone = null;
    if (socket.destroyed || this.state !== 'answering') return;
    const bytes = encodeAnswer({ ...answer, isLast: answer.isLast || this.isLast });
    if (answer.isLast || this.isLast) {
      socket.end(bytes);
      return;
    }
    socket.write(bytes);
    socket.setTimeout(IDLE_MS);
    this.state = 'idle';
  }

  private leave(chunk: Buffer): void {
    const { socket } = this;
    socket.off('data', this.take);
    socket.off('close', this.closed);
    socket.off('error', this.destroy);
    socket.off('timeout', this.destroy);
    socket.setTimeout(0);
    this.options.handOver(socket, chunk);
  }

  private readonly closed = (): void => {
    const { gone } = this;
    this.gone = null;
    gone?.();
  };

  private readonly destroy = (): void => {
    this.socket.destroy();
  };
}
