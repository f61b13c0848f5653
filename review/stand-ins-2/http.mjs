/** HTTP/1.1 with MessagePack bodies on loopback: a server, and a client for single requests. */
import http from 'node:http';
import { Decoder, Encoder } from '@msgpack/msgpack';

const encoder = new Encoder({ useBigInt64: true });
const decoder = new Decoder();
/** keeps 64-bit integers apart from floating-point numbers: the former are BigInt */
const exactDecoder = new Decoder({ useBigInt64: true });

export const pack = (value) => Buffer.from(encoder.encode(withLargeIntegers(value)));

/** Makes integers above 2^32 BigInt: the encoder sends them as integers of 64 bits then. */
function withLargeIntegers(value) {
  if (typeof value === 'number') return Number.isSafeInteger(value) && Math.abs(value) > 0xffffffff ? BigInt(value) : value;
  if (Array.isArray(value)) return value.map(withLargeIntegers);
  if (value === null || typeof value !== 'object' || value instanceof Uint8Array) return value;
  return Object.fromEntries(Object.entries(value).map(([name, field]) => [name, withLargeIntegers(field)]));
}

export function unpack(bytes, isExact = false) {
  return bytes.length === 0 ? {} : (isExact ? exactDecoder : decoder).decode(bytes);
}

function readAll(stream) {
  return new Promise((resolve, reject) => {
    const parts = [];
    stream.on('data', (part) => parts.push(part));
    stream.on('error', reject);
    stream.on('aborted', () => reject(new Error('aborted')));
    stream.on('end', () => resolve(Buffer.concat(parts)));
  });
}

/** Creates a server whose handler gets `{ method, path, query, body }` and returns `{ status, body }`; null: no response. */
export function createServer(handler, isExact = false) {
  return http.createServer({ keepAliveTimeout: 70_000 }, async (request, response) => {
    try {
      const url = new URL(request.url, 'http://loopback');
      const body = unpack(await readAll(request), isExact);
      const result = await handler({ method: request.method, path: url.pathname, query: url.searchParams, body });
      if (result === null) return;
      const bytes = pack(result.body);
      response.writeHead(result.status, { 'content-type': 'application/msgpack', 'content-length': bytes.length });
      response.end(bytes);
    } catch {
      response.destroy();
    }
  });
}

/** Listens on 127.0.0.1. Resolves with `IP:port`. `port` 0: a free one. */
export function listen(server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => resolve(`127.0.0.1:${server.address().port}`));
  });
}

/** Sends one request. Resolves with `{ status, body }`, or null if there is no response in time. */
export function call(address, method, path, body, { timeoutMs = 5000, agent } = {}) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const bytes = body === undefined ? null : pack(body);
    const headers = bytes ? { 'content-type': 'application/msgpack', 'content-length': bytes.length } : {};
    const request = http.request({ host, port: Number(port), method, path, headers, ...(agent ? { agent } : { agent: false }) });
    const timer = setTimeout(() => request.destroy(new Error('timeout')), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.on('error', () => finish(null));
    request.on('response', async (response) => {
      try {
        finish({ status: response.statusCode, body: unpack(await readAll(response)) });
      } catch {
        finish(null);
      }
    });
    request.end(bytes ?? undefined);
  });
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
