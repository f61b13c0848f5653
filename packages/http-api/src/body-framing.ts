/** Whether the head of a request says for certain where its body ends (RFC 9112, section 6.3). */

const LENGTH_PATTERN = /^\d+$/;

/** `headers`: names and values by turns, as the parser has them. */
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
      // A length may be repeated, but not differ.
      if (!LENGTH_PATTERN.test(value) || (length !== null && length !== value)) return false;
      length = value;
    }
  }
  // With both, two readers could cut the body differently.
  return length === null || !isChunked;
}
