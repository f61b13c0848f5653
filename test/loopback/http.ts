/** HTTP as PROTOCOL describes it, for simulated services that real processes talk to over the loopback interface. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';
import { pack, unpackMap } from '@archpost/protocol';

/** A request: its path and query, and its body where it has a readable one. */
export interface LoopbackRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  body: Record<string, unknown>;
  /** the address that it came to */
  to: string;
}

/** The status code and the body of a response. */
export interface LoopbackResponse {
  status: number;
  body: unknown;
}

/** Responds to a request. */
export type Handler = (request: LoopbackRequest) => LoopbackResponse | Promise<LoopbackResponse>;

function readBody(request: http.IncomingMessage): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    request.on('data', (part: Buffer) => parts.push(part));
    request.on('error', reject);
    request.on('end', () => resolve(Buffer.concat(parts)));
  });
}

/** A server for this handler, which listens nowhere yet. */
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
      // The other side is gone, or will ask again.
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
