/** Checks that the headers of a request determine unambiguously where its body ends (RFC 9112, section 6.3). */

const LENGTH_PATTERN = /^\d+$/;

/**
 * Reports whether the request's body length is unambiguous.
 *
 * @param headers alternating names and values, as the parser provides them
 */
export function hasUnambiguousLength(headers: readonly string[]): boolean {
  let length: string | null = null;
  let isChunked = false;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index]?.toLowerCase();
    const value = headers[index + 1]?.trim() ?? '';
    if (name === 'transfer-encoding') {
      if (value.toLowerCase() !== 'chunked') return false;
      isChunked = true;
    } else if (name === 'content-length') {
      // Repeated lengths are valid only if they are equal.
      if (!LENGTH_PATTERN.test(value) || (length !== null && length !== value)) return false;
      length = value;
    }
  }
  // With both headers, a proxy and this server could disagree about the end of the body (request smuggling).
  return length === null || !isChunked;
}
