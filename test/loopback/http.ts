/** HTTP servers that follow PROTOCOL, for simulated services that real processes use over the loopback interface. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { pack, unpackMap } from '@archpost/protocol';

/** A request. The body is empty if the request has none or an unreadable one. */
export interface LoopbackRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  body: Record<string, unknown>;
  /** the local address that received the request */
  to: string;
}

/** The status code and the body of a response. */
export interface LoopbackResponse {
  status: number;
  body: unknown;
}

/** Handles a request and returns the response. */
export type Handler = (request: LoopbackRequest) => LoopbackResponse | Promise<LoopbackResponse>;

function readBody(request: http.IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    request.on('data', (part: Buffer) => parts.push(part));
    request.on('error', reject);
    request.on('end', () => resolve(Buffer.concat(parts)));
  });
}

/** Creates an HTTP server that serves requests with the handler; it is not listening yet. */
export function createServer(handler: Handler): http.Server {
  return http.createServer({ keepAliveTimeout: 60_000 }, async (request, response) => {
    try {
      const url = new URL(request.url ?? '/', 'http://loopback');
      const { status, body } = await handler({
        method: request.method ?? 'GET',
        path: url.pathname,
        query: url.searchParams,
        body: unpackMap(await readBody(request)) ?? {},
        to: request.socket.localAddress ?? '',
      });
      const bytes = pack(body);
      response.writeHead(status, { 'content-type': 'application/msgpack', 'content-length': bytes.length });
      response.end(bytes);
    } catch {
      // The client is gone, or retries after the closed connection.
      response.destroy();
    }
  });
}

/** Listens on a free port of 127.0.0.1. Returns the address. */
export function listen(server: http.Server): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`));
  });
}
