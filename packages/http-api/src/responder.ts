/** Sends responses, through Node's HTTP server or directly to a socket. */
import http from 'node:http';

/** A response with its body encoded as MessagePack. */
export interface HttpResponse {
  status: number;
  body: Buffer;
  retryAfterS: number | undefined;
  /** whether to close the connection after this response */
  closeConnection: boolean;
}

/** Sends the response to one request. */
export interface Responder {
  /** Sends the response. Does nothing if the client has disconnected. */
  send(response: HttpResponse): void;
  /** Calls the listener when the client disconnects, possibly also after the response was sent. */
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

/** Encodes head and body of a response into one buffer, so that they are sent with one system call. */
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
