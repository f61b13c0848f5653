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

/** Bytes that replace the body of the response to a request; null: the body is sent as it is. */
export type BodyReplacement = (path: string) => Buffer | null;

/**
 * Creates an HTTP server that serves requests with the handler; it is not listening yet. `replacement` is asked before each
 * response.
 */
export function createServer(handler: Handler, replacement: BodyReplacement = () => null): http.Server {
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
      const bytes = replacement(url.pathname) ?? pack(body);
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

/** Sends a POST request with these bytes. Resolves with the status code of the response; null: there was none. */
export function postBytes(address: string, path: string, bytes: Uint8Array, agent?: http.Agent): Promise<number | null> {
  const [host, port] = address.split(':') as [string, string];
  return new Promise((resolve) => {
    const headers = { 'content-length': bytes.length };
    const request = http.request({
      host,
      port: Number(port),
      method: 'POST',
      path,
      headers,
      timeout: 5000,
      ...(agent && { agent }),
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(null));
    request.on('response', (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode ?? null));
    });
    request.end(bytes);
  });
}
