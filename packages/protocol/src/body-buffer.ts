/**
 * Collects the body of a request or response. A body may arrive in chunks of one byte, and a chunk that is kept as it arrived takes
 * over a hundred bytes, so chunks are copied into one buffer.
 */

/** Smallest buffer that chunks are copied into; a full one is replaced by one of twice the size. */
const MIN_BUFFER_BYTES = 1024;

const EMPTY = Buffer.alloc(0);

/** The bytes of one body up to a limit. Nothing of a larger body is kept. */
export class BodyBuffer {
  /** null: the body is larger than the limit */
  private buffer: Buffer | null = EMPTY;
  private bytes = 0;

  /** @param maxBytes maximum size of a body */
  constructor(private readonly maxBytes: number) {}

  /** Whether the body is larger than the limit. */
  get isTooLarge(): boolean {
    return this.buffer === null;
  }

  /** Adds a chunk of the body. The first one is not copied, because most bodies arrive in one. */
  append(chunk: Buffer): void {
    if (this.buffer === null) return;
    const bytes = this.bytes + chunk.length;
    if (bytes > this.maxBytes) {
      this.buffer = null;
      return;
    }
    if (this.bytes === 0) {
      this.buffer = chunk;
      this.bytes = bytes;
      return;
    }
    // The first chunk is full, so what follows goes into another buffer.
    if (bytes > this.buffer.length) this.buffer = this.enlarged(this.buffer, bytes);
    chunk.copy(this.buffer, this.bytes);
    this.bytes = bytes;
  }

  /** Returns the body, or null if it is larger than the limit. The next body can be appended afterwards. */
  take(): Buffer | null {
    const body = this.buffer?.subarray(0, this.bytes) ?? null;
    this.clear();
    return body;
  }

  /** Drops the body. */
  clear(): void {
    this.buffer = EMPTY;
    this.bytes = 0;
  }

  private enlarged(buffer: Buffer, bytes: number): Buffer {
    const larger = Buffer.allocUnsafeSlow(Math.min(this.maxBytes, Math.max(bytes, 2 * buffer.length, MIN_BUFFER_BYTES)));
    buffer.copy(larger, 0, 0, this.bytes);
    return larger;
  }
}
