/** MessagePack, the encoding of every request and response body. */
import { Decoder, Encoder } from '@msgpack/msgpack';

/** Maximum length of a decoded string, array or map. A greater length is rejected before memory is allocated for it. */
const MAX_LENGTH = 1 << 20;

const encoder = new Encoder();
const decoder = new Decoder({ maxStrLength: MAX_LENGTH, maxArrayLength: MAX_LENGTH, maxMapLength: MAX_LENGTH });

/** A decoded body. Its fields are not validated until one of this package's parse functions reads them. */
export type MessagePackMap = Record<string, unknown>;

/** Encodes a value. Throws if MessagePack cannot represent it, as for functions. */
export function pack(value: unknown): Buffer {
  return Buffer.from(encoder.encode(value));
}

/** Decodes a value. Throws unless the bytes are exactly one MessagePack value. */
export function unpack(bytes: Uint8Array): unknown {
  return decoder.decode(bytes);
}

/** Decodes a map. Returns null if the bytes are malformed or encode anything else. */
export function unpackMap(bytes: Uint8Array): MessagePackMap | null {
  try {
    const value = unpack(bytes);
    return isMap(value) ? value : null;
  } catch {
    return null;
  }
}

function isMap(value: unknown): value is MessagePackMap {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
