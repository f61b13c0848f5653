/** Where the response to a request goes, whichever way the request came. */
import http from 'node:http';

/** A response whose body is encoded already, as MessagePack. */
export interface HttpResponse {
  status: number;
  body: Buffer;
  retryAfterS: number | undefined;
  /** the connection is closed once this is sent */
  closeConnection: boolean;
}

/** The client's side of one request. */
export interface Responder {
  /** Sends the response; nothing happens if the client is gone. */
  send(response: HttpResponse): void;
  /** Calls back when nobody waits for the response any more. */
  onDisconnect(listener: () => void): void;
}

const CONTENT_TYPE = 'application/msgpack';

/** Responds by Node's HTTP server. */
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

  onDisconnect(listener: () => void): void {
    this.response.once('close', listener);
  }
}

/** Head and body in one piece, so that it leaves by one call. */
export function encodeResponse({ status, body, retryAfterS }: HttpResponse, closeConnection: boolean): Buffer {
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
