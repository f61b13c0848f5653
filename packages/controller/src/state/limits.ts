/**
 * The sizes that the state service takes: of a value, and of a transaction. The settings may announce limits that it will have
 * later (`params.state.next`), without saying when, so sizes fit the present limits and the announced ones.
 */
import type { ControllerSettings } from '../model/index.js';

/** Bytes of a value left to how the service counts: it may add a field or two around what we send. */
const VALUE_SPARE_BYTES = 64;

/** Limits of sizes are given in KiB. */
export const BYTES_PER_KIB = 1024;

/** Size of a write as the service counts it: the key and the value in JSON. `value`: undefined for a removal. */
export function encodedBytes(key: string, value: unknown): number {
  const json = value === undefined ? '' : JSON.stringify(value);
  return Buffer.byteLength(key) + Buffer.byteLength(json);
}

/** Sizes that fit both the present limits and those that may come without notice. */
export interface StateSizeLimits {
  /** largest encoded write, its key included */
  maxWriteBytes: number;
  /** most writes in one transaction */
  writesPerTransaction: number;
}

/** The smaller of each present and announced limit. */
export function stateSizeLimits(state: ControllerSettings['state']): StateSizeLimits {
  const valueKib = Math.min(state.valueKib, state.next?.valueKib ?? state.valueKib);
  return {
    maxWriteBytes: Math.floor(valueKib * BYTES_PER_KIB) - VALUE_SPARE_BYTES,
    writesPerTransaction: Math.min(state.writesPerTransaction, state.next?.writesPerTransaction ?? state.writesPerTransaction),
  };
}
