/** MessagePack, the encoding of every request and response body. */
import { DecodeError, Decoder, Encoder } from '@msgpack/msgpack';
import { findStructureFault, type StructureFault } from './message-pack-structure.js';

const encoder = new Encoder();

export { hasValidTexts } from './message-pack-structure.js';

/** A decoded body. Its fields are not validated until one of this package's parse functions reads them. */
export type MessagePackMap = Record<string, unknown>;

/** Why bytes can't be decoded as a map. */
export type MapFault = StructureFault | 'undecodable' | 'not a map';

/** A decoded map, or why there is none. */
export type DecodedMap = { kind: 'map'; map: MessagePackMap } | { kind: 'malformed'; fault: MapFault };

/** Bytes that are not exactly one MessagePack value. */
class MalformedBytesError extends Error {
  readonly code = 'MALFORMED_MESSAGE_PACK';

  constructor(readonly fault: StructureFault) {
    super(`malformed MessagePack: ${fault}`);
  }
}

/** Encodes a value. Throws if MessagePack cannot represent it, as for functions. */
export function pack(value: unknown): Buffer {
  // The encoder reuses the bytes that it returns, and this copies them.
  return Buffer.from(encoder.encodeSharedRef(value));
}

/** Decodes a value. Throws unless the bytes are exactly one MessagePack value. */
export function unpack(bytes: Uint8Array): unknown {
  const fault = findStructureFault(bytes);
  if (fault !== null) throw new MalformedBytesError(fault);
  return decode(bytes);
}

/**
 * Decodes a map. What it takes until it is known to be valid is in proportion to the bytes (docs/operations/sizing.md), and
 * nothing is kept of malformed bytes.
 *
 * @param maxContainers maximum number of lists and maps
 */
export function decodeMap(bytes: Uint8Array, maxContainers = Number.POSITIVE_INFINITY): DecodedMap {
  const fault = findStructureFault(bytes, maxContainers);
  if (fault !== null) return { kind: 'malformed', fault };
  try {
    const value = decode(bytes);
    return isMap(value) ? { kind: 'map', map: value } : { kind: 'malformed', fault: 'not a map' };
  } catch {
    // A key that can't be a field name, for example.
    return { kind: 'malformed', fault: 'undecodable' };
  }
}

/** Decodes a map. Returns null if the bytes are malformed or encode anything else. */
export function unpackMap(bytes: Uint8Array): MessagePackMap | null {
  const decoded = decodeMap(bytes);
  return decoded.kind === 'map' ? decoded.map : null;
}

/** Decodes bytes whose structure is valid. A decoder keeps its last bytes and values until its next use, so none is kept. */
function decode(bytes: Uint8Array): unknown {
  return new Decoder({ mapKeyConverter: toFieldName }).decode(bytes);
}

/** Names that V8 takes for indices of an array, but for the smallest ones. */
const ARRAY_INDEX = /^\d\d+$/;

/** Most names are told from an index by their first character. */
const LARGEST_DIGIT = '9'.charCodeAt(0);

/** Put before the names that are array indices. */
const INDEX_PREFIX = '#';

/**
 * Returns the field name for a key of a map. V8 reserves the elements of an object up to a numeric name, so larger numbers get a
 * prefix. No field of the protocols or of the stored records has such a name.
 */
function toFieldName(key: unknown): string {
  const name = typeof key === 'number' ? String(key) : key;
  if (typeof name !== 'string') throw new DecodeError(`a key of type ${typeof key}`);
  return name.charCodeAt(0) <= LARGEST_DIGIT && ARRAY_INDEX.test(name) ? `${INDEX_PREFIX}${name}` : name;
}

function isMap(value: unknown): value is MessagePackMap {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
