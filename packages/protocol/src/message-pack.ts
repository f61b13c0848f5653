import { Decoder, Encoder } from '@msgpack/msgpack';

const encoder = new Encoder();
const decoder = new Decoder({ maxStrLength: 1 << 20, maxArrayLength: 1 << 20, maxMapLength: 1 << 20 });

export function pack(value: unknown): Buffer {
  return Buffer.from(encoder.encode(value));
}

/** Throws on anything that is not exactly one MessagePack value. */
export function unpack(bytes: Uint8Array): unknown {
  return decoder.decode(bytes);
}

export function unpackMap(bytes: Uint8Array): Record<string, unknown> | null {
  try {
    const value = unpack(bytes);
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? (value as Record<string, unknown>) : null;
  } catch {
    return null;
  }
}
