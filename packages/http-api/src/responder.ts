/** Where the answer to a request goes, whichever way the request came. */
import http from 'node:http';

/** What is answered. The body is MessagePack. */
export interface HttpResponse {
  status: number;
  body: Buffer;
  retryAfterS: number | undefined;
  /** the connection is closed once this is sent */
  closeConnection: boolean;
}

export interface Responder {
  /** Sends the answer; nothing happens if the other side is gone. */
  send(answer: HttpResponse): void;
  /** Calls back when nobody waits for the answer any more. */
  onDisconnect(gone: () => void): void;
}

export const CONTENT_TYPE = 'application/msgpack';

/** A request that came by Node's HTTP server. */
export class HttpResponder implements Responder {
  constructor(private readonly response: http.ServerResponse) {}

  send({ status, body, retryAfterS, closeConnection }: HttpResponse): void {
    const { response } = this;
    if (response.headersSent || response.destroyed) return;
    response.statusCode = status;
    response.setHeader('content-type', CONTENT_TYPE);
    response.setHeader('content-length', body.length);
    if (closeConnection) response.setHeader('connection', 'close');
    if (retryAfterS !== undefined) response.setHeader('retry-after', String(retryAfterS));
    response.end(body);
  }

  onDisconnect(gone: () => void): void {
    this.response.once('close', gone);
  }
}

/** Head and body in one piece, so that it leaves by one call. */
export function encodeResponse({ status, body, retryAfterS, closeConnection }: HttpResponse): Buffer {
  const retryAfter = retryAfterS === undefined ? '' : `retry-after: ${retryAfterS}\r\n`;
  const connection = closeConnection ? 'connection: close\r\n' : '';
  const head =
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}\r\ncontent-type: ${CONTENT_TYPE}\r\n` +
    `content-length: ${body.length}\r\n${retryAfter}${connection}\r\n`;
  const bytes = Buffer.allocUnsafe(head.length + body.length);
  bytes.write(head, 0, 'latin1');
  body.copy(bytes, head.length);
  return bytes;
}
