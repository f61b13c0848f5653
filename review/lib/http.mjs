/** HTTP/1.1 with MessagePack bodies, as on the page PROTOCOL: a small server and a small client. */
import http from 'node:http';
import { decode, encode } from '@msgpack/msgpack';

export const pack = (value) => Buffer.from(encode(value, { ignoreUndefined: true }));
export const unpack = (bytes) => {
  try {
    return bytes.length > 0 ? decode(bytes) : {};
  } catch {
    return null;
  }
};

/** Size of a body as the page counts it: in JSON. */
export const jsonBytes = (value) => Buffer.byteLength(JSON.stringify(value));

function readAll(stream) {
  return new Promise((resolve, reject) => {
    const parts = [];
    stream.on('data', (part) => parts.push(part));
    stream.on('error', reject);
    stream.on('aborted', () => reject(new Error('aborted')));
    stream.on('end', () => resolve(Buffer.concat(parts)));
  });
}

/**
 * Serves requests with `handle({method, path, query, body, from})`, which returns `{status, body}`, a promise of it, or null:
 * no answer, and the connection stays open.
 */
export function serve(handle, host, port = 0) {
  const server = http.createServer({ keepAliveTimeout: 60_000 }, async (request, response) => {
    try {
      const url = new URL(request.url, 'http://loopback');
      const body = unpack(await readAll(request));
      const answer = await handle({
        method: request.method,
        path: decodeURI(url.pathname),
        query: url.searchParams,
        body,
        from: `${request.socket.remoteAddress}:${request.socket.remotePort}`,
      });
      if (answer === null || answer === undefined || response.destroyed) return;
      const bytes = pack(answer.body ?? {});
      response.writeHead(answer.status, { 'content-type': 'application/msgpack', 'content-length': bytes.length });
      response.end(bytes);
    } catch {
      response.destroy();
    }
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve({ server, address: `${host}:${server.address().port}` }));
  });
}

/** Sends one request. Resolves with `{status, body}`, or null if there was no answer in time. */
export function call(address, method, path, body, { timeoutMs = 5000, agent } = {}) {
  const [host, port] = address.split(':');
  const bytes = body === undefined ? null : pack(body);
  return new Promise((resolve) => {
    const headers = bytes ? { 'content-type': 'application/msgpack', 'content-length': bytes.length } : {};
    const request = http.request({ host, port: Number(port), method, path, headers, agent });
    let isSettled = false;
    const settle = (answer) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      resolve(answer);
    };
    const timer = setTimeout(() => {
      settle(null);
      request.destroy();
    }, timeoutMs);
    request.on('error', () => settle(null));
    request.on('response', async (response) => {
      try {
        const answer = unpack(await readAll(response));
        settle({ status: response.statusCode, body: answer ?? {}, retryAfter: response.headers['retry-after'] });
      } catch {
        settle(null);
      }
    });
    request.end(bytes ?? undefined);
  });
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
