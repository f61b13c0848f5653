/** Ways to send a response, by Node's HTTP server or straight to a socket. */
import http from 'node:http';

/** A response. Its body is already encoded, as MessagePack. */
export interface HttpResponse {
  status: number;
  body: Buffer;
  retryAfterS: number | undefined;
  /** close the connection after this response */
  closeConnection: boolean;
}

/** Sends the response to one request. */
export interface Responder {
  /** Sends the response; nothing happens if the client has disconnected. */
  send(response: HttpResponse): void;
  /** Calls the listener when the client disconnects; it may be called after the response as well. */
  onDisconnect(listener: () => void): void;
}

const CONTENT_TYPE = 'application/msgpack';

/** Responds through Node's HTTP server. */
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

/** Head and body of a response in one buffer, so that they are sent by one call. */
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
