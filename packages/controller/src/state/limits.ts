/**
 * What the state service takes, and how fast: the size of a value and of a transaction, and the rate of
 * changes. The settings may announce limits that it will have later (`params.state.next`), without saying when.
 */
import type { ControllerSettings, Milliseconds } from '../model/index.js';

/** Bytes of a value left to how the service counts: it may add a field or two around what we send. */
const VALUE_SPARE_BYTES = 64;

export const BYTES_PER_KIB = 1024;

/** After a refusal for the rate, the higher rate is not tried again for this long. */
const RATE_PAUSE_MS = 10_000;

/** Then the rate rises by this part of the highest one a second, until it is refused again. */
const RATE_RISE_PER_S = 0.02;

/** Size of a change as the service counts it: the key and the value in JSON. */
export function encodedBytes(key: string, value: unknown): number {
  const json = value === undefined ? '' : JSON.stringify(value);
  return Buffer.byteLength(key) + Buffer.byteLength(json);
}

/** Sizes that fit both the present limits and those that may come without notice. */
export interface StateSizeLimits {
  /** largest encoded change, its key included */
  maxWriteBytes: number;
  /** most changes in one transaction */
  writesPerTransaction: number;
}

export function stateSizeLimits(state: ControllerSettings['state']): StateSizeLimits {
  const valueKb = Math.min(state.valueKib, state.next?.valueKib ?? state.valueKib);
  return {
    maxWriteBytes: Math.floor(valueKb * BYTES_PER_KIB) - VALUE_SPARE_BYTES,
    writesPerTransaction: Math.min(state.writesPerTransaction, state.next?.writesPerTransaction ?? state.writesPerTransaction),
  };
}

/**
 * The rate of changes that the service takes now, as far as its refusals tell. It starts at the present limit,
 * falls to the announced one when a change is refused for the rate, and rises again slowly while none is:
 * the service may go back to what it allowed before. Without an announced limit it stays as it is.
 */
export class WriteRateLimit {
  private readonly highest: number;
  private readonly lowest: number;
  private refusedAt: Milliseconds | null = null;

  constructor(state: ControllerSettings['state']) {
    this.highest = state.writesPerS;
    this.lowest = Math.min(state.writesPerS, state.next?.writesPerS ?? state.writesPerS);
  }

  /** A change was refused because there were too many. */
  recordRefusal(now: Milliseconds): void {
    this.refusedAt = now;
  }

  /** Changes a second that all controllers together may make. */
  perSecond(now: Milliseconds): number {
    if (this.refusedAt === null) return this.highest;
    const quietS = Math.max(0, now - this.refusedAt - RATE_PAUSE_MS) / 1000;
    return Math.min(this.highest, this.lowest + quietS * RATE_RISE_PER_S * this.highest);
  }
}
