/**
 * Checks of a request's head that some versions of Node's HTTP parser leave to the program, although its syntax is invalid
 * (RFC 9112, sections 3.2 and 5; RFC 9110, section 5.6.2; RFC 3986, section 2).
 */
import type http from 'node:http';

/** The characters of a request target are visible ASCII characters; any other is percent-encoded. */
const REQUEST_TARGET = /^[\x21-\x7e]+$/;

/** A token, as the names of headers are. */
const HEADER_NAME = /^[\w!#$%&'*+.^`|~-]+$/;

/** Reports whether the request target and the names of the headers have only allowed characters. */
export function isHeadWellFormed({ url, rawHeaders }: Pick<http.IncomingMessage, 'url' | 'rawHeaders'>): boolean {
  return REQUEST_TARGET.test(url ?? '') && hasValidNames(rawHeaders);
}

/** @param headers alternating names and values, as the parser provides them */
function hasValidNames(headers: readonly string[]): boolean {
  for (let index = 0; index < headers.length; index += 2) if (!HEADER_NAME.test(headers[index] ?? '')) return false;
  return true;
}
