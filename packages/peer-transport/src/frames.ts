/**
 * Frames on a link between controllers: the length of a message as four bytes in big-endian order, then the message. A frame
 * arrives in many chunks. They are joined once, when the frame is complete: joining at each chunk would copy a number of bytes
 * that grows with the square of the frame's size.
 */

/** Maximum size of a message. Senders shorten their messages to fit, and send the rest in later messages. */
export const MAX_FRAME_BYTES = 4 << 20;

const HEADER_BYTES = 4;

/** A frame header with a length beyond MAX_FRAME_BYTES. The sender violates the format, so no more frames can be decoded. */
export class FrameTooLargeError extends Error {
  readonly code = 'FRAME_TOO_LARGE';

  constructor(readonly bytes: number) {
    super(`a frame of ${bytes} bytes`);
  }
}

/** Encodes a message as a frame. The message must not be larger than MAX_FRAME_BYTES. */
export function encodeFrame(body: Uint8Array): Buffer {
  const frame = Buffer.alloc(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length);
  frame.set(body, HEADER_BYTES);
  return frame;
}

/** Decodes the frames of one link from the chunks that its socket emits. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  /** size of the message that is being received; null: its header is incomplete */
  private bodyBytes: number | null = null;

  /** Returns the messages that this chunk completes. Throws FrameTooLargeError; the link must then be closed. */
  push(chunk: Buffer): Buffer[] {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    const bodies: Buffer[] = [];
    for (;;) {
      if (this.bodyBytes === null) {
        if (this.bufferedBytes < HEADER_BYTES) return bodies;
        this.bodyBytes = this.takeBytes(HEADER_BYTES).readUInt32BE(0);
        if (this.bodyBytes > MAX_FRAME_BYTES) throw new FrameTooLargeError(this.bodyBytes);
      }
      if (this.bufferedBytes < this.bodyBytes) return bodies;
      bodies.push(this.takeBytes(this.bodyBytes));
      this.bodyBytes = null;
    }
  }

  /** Removes and returns the first bytes. Joins chunks only if the first chunk does not contain all of them. */
  private takeBytes(bytes: number): Buffer {
    const first = this.chunks[0] ?? Buffer.alloc(0);
    const joined = first.length >= bytes ? first : Buffer.concat(this.chunks);
    const laterChunks = first.length >= bytes ? this.chunks.slice(1) : [];
    const rest = joined.subarray(bytes);
    this.chunks = rest.length > 0 ? [rest, ...laterChunks] : laterChunks;
    this.bufferedBytes -= bytes;
    return joined.subarray(0, bytes);
  }
}
