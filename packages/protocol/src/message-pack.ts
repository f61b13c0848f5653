/** MessagePack, the encoding of every request and response body. */
import { Decoder, Encoder } from '@msgpack/msgpack';

/** Longest string, array or map that is decoded: a length beyond it is refused before anything is allocated for it. */
const MAX_LENGTH = 1 << 20;

const encoder = new Encoder();
const decoder = new Decoder({ maxStrLength: MAX_LENGTH, maxArrayLength: MAX_LENGTH, maxMapLength: MAX_LENGTH });

/** A decoded body. Its fields are unchecked until one of the parse functions of this package has read them. */
export type MessagePackMap = Record<string, unknown>;

/** Encodes a value; throws on what MessagePack has no form for, such as functions. */
export function pack(value: unknown): Buffer {
  return Buffer.from(encoder.encode(value));
}

/** Throws on anything that is not exactly one MessagePack value. */
export function unpack(bytes: Uint8Array): unknown {
  return decoder.decode(bytes);
}

/** The map that these bytes encode; null if they encode anything else or are malformed. */
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
