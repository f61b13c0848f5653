/**
 * What the state service takes: the form of keys and texts, and size limits for values and transactions. The settings may announce
 * future limits (`params.state.next`) without a date, so sizes respect both the present and the announced limits.
 */
import { isKeyText } from '@archpost/protocol';
import type { ControllerSettings } from '../model/index.js';

/** Safety margin below the service's value limit: the service may also count a field or two that it adds to the value. */
const VALUE_MARGIN_BYTES = 64;

/** The settings give size limits in KiB. */
export const BYTES_PER_KIB = 1024;

/** Returns the size of a write as the service counts it: the key and the value as JSON. `value`: undefined for a removal. */
export function encodedBytes(key: string, value: unknown): number {
  const json = value === undefined ? '' : JSON.stringify(value);
  return Buffer.byteLength(key) + Buffer.byteLength(json);
}

/** Maximum size of a key. */
const MAX_KEY_BYTES = 200;

/**
 * A surrogate without a partner, in JSON text. `JSON.stringify` escapes it, and no other character as `\ud`; the backslash is
 * the last of an odd number.
 */
const LONE_SURROGATE_IN_JSON = /(?<!\\)(?:\\\\)*\\ud/;

/** Whether the state service takes a write with this content, whatever its size. `value`: undefined for a removal. */
export function isStorable(key: string, value: unknown): boolean {
  if (!isKeyText(key) || Buffer.byteLength(key) > MAX_KEY_BYTES) return false;
  return value === undefined || !LONE_SURROGATE_IN_JSON.test(JSON.stringify(value));
}

/** Size limits that satisfy both the present limits and the announced ones, which may take effect without notice. */
export interface StateSizeLimits {
  /** maximum size of an encoded write, including the key */
  maxWriteBytes: number;
  /** maximum number of writes in one transaction */
  writesPerTransaction: number;
}

/** Returns the smaller of the present and the announced value of each limit. */
export function stateSizeLimits(state: ControllerSettings['state']): StateSizeLimits {
  const valueKib = Math.min(state.valueKib, state.next?.valueKib ?? state.valueKib);
  return {
    maxWriteBytes: Math.floor(valueKib * BYTES_PER_KIB) - VALUE_MARGIN_BYTES,
    writesPerTransaction: Math.min(state.writesPerTransaction, state.next?.writesPerTransaction ?? state.writesPerTransaction),
  };
}
