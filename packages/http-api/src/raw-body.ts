/**
 * Express middleware that reads the body of a request, undecoded and whatever its declared content type. Unlike Express's own, it
 * doesn't keep each received chunk (see `BodyBuffer`).
 */
import { BodyBuffer, MAX_BODY_BYTES } from '@archpost/protocol';
import type express from 'express';

/** A body that is larger than MAX_BODY_BYTES. */
export class BodyTooLargeError extends Error {
  readonly code = 'BODY_TOO_LARGE';

  constructor() {
    super(`a body of more than ${MAX_BODY_BYTES} bytes`);
  }
}

/** A body in an encoding such as gzip. */
class UnsupportedEncodingError extends Error {
  readonly code = 'UNSUPPORTED_CONTENT_ENCODING';

  constructor(readonly encoding: string) {
    super(`content encoding ${encoding}`);
  }
}

const NO_ENCODING = 'identity';

/**
 * Sets `request.body` to the bytes of the body, or leaves it undefined if there is none. Passes a BodyTooLargeError or an
 * UnsupportedEncodingError to the next error handler, once the body has been received.
 */
export function readRawBody(request: express.Request, _response: express.Response, next: express.NextFunction): void {
  const { headers } = request;
  if (headers['transfer-encoding'] === undefined && headers['content-length'] === undefined) return next();
  const encoding = headers['content-encoding']?.toLowerCase() ?? NO_ENCODING;
  const body = new BodyBuffer(encoding === NO_ENCODING ? MAX_BODY_BYTES : 0);
  request.on('data', (chunk: Buffer) => body.append(chunk));
  request.on('end', () => {
    if (encoding !== NO_ENCODING) return next(new UnsupportedEncodingError(encoding));
    const bytes = body.take();
    if (bytes === null) return next(new BodyTooLargeError());
    request.body = bytes;
    next();
  });
}
