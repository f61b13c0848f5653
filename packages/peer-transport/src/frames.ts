/**
 * Frames on a link between controllers: a length of four bytes and a message. A frame comes in many chunks; they are
 * put together once, when it is whole, since doing so for each of them copies the square of its size.
 */

/** No message is larger than this; the sender tells in turn what doesn't fit. */
export const MAX_FRAME_BYTES = 4 << 20;

const HEADER_BYTES = 4;

/** A frame on its way is larger than any that is sent: what follows it can't be told apart any more. */
export class FrameTooLargeError extends Error {
  constructor(readonly bytes: number) {
    super(`a frame of ${bytes} bytes`);
  }
}

export function encodeFrame(body: Uint8Array): Buffer {
  const frame = Buffer.alloc(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length);
  frame.set(body, HEADER_BYTES);
  return frame;
}

/** Takes chunks as they come and gives frames as they are whole. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private length = 0;
  /** size of the body on its way; null: its head isn't there yet */
  private bodyBytes: number | null = null;

  /** The bodies of the frames that are whole now; throws FrameTooLargeError. */
  push(chunk: Buffer): Buffer[] {
    this.chunks.push(chunk);
    this.length += chunk.length;
    const bodies: Buffer[] = [];
    for (;;) {
      if (this.bodyBytes === null) {
        if (this.length < HEADER_BYTES) return bodies;
        this.bodyBytes = this.takeBytes(HEADER_BYTES).readUInt32BE(0);
        if (this.bodyBytes > MAX_FRAME_BYTES) throw new FrameTooLargeError(this.bodyBytes);
      }
      if (this.length < this.bodyBytes) return bodies;
      bodies.push(this.takeBytes(this.bodyBytes));
      this.bodyBytes = null;
    }
  }

  private takeBytes(bytes: number): Buffer {
    const first = this.chunks[0] ?? Buffer.alloc(0);
    const joined = first.length >= bytes ? first : Buffer.concat(this.chunks);
    const others = first.length >= bytes ? this.chunks.slice(1) : [];
    const rest = joined.subarray(bytes);
    this.chunks = rest.length > 0 ? [rest, ...others] : others;
    this.length -= bytes;
    return joined.subarray(0, bytes);
  }
}
