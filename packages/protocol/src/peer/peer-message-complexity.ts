/**
 * Limits the memory of a decoded peer message. An element of a list, such as a task, takes two bytes if all its fields have their
 * defaults, and over a hundred bytes of heap once it is decoded.
 */
import protobuf from 'protobufjs/light.js';

/** Maximum number of messages inside a peer message, at all levels. A status of 4,000 machines has a third of it. */
const MAX_ELEMENTS = 1 << 16;

/** Wire type of fields with a length: strings and messages. */
const LENGTH_DELIMITED = 2;
const WIRE_TYPE_BITS = 3;
const WIRE_TYPE_MASK = (1 << WIRE_TYPE_BITS) - 1;

/** A peer message with more elements than any controller sends. */
export class PeerMessageTooComplexError extends Error {
  readonly code = 'PEER_MESSAGE_TOO_COMPLEX';

  constructor() {
    super(`more than ${MAX_ELEMENTS} elements`);
  }
}

/**
 * Throws PeerMessageTooComplexError if the message has too many elements, and RangeError if its bytes end early. Takes no memory.
 *
 * @param type its type and all types inside it are resolved
 */
export function checkComplexity(type: protobuf.Type, bytes: Uint8Array): void {
  new ElementCounter(protobuf.Reader.create(bytes)).countIn(type, bytes.length);
}

/** Counts the messages inside a message. Its recursion is as deep as the types are nested. */
class ElementCounter {
  private count = 0;

  constructor(private readonly reader: protobuf.Reader) {}

  countIn(type: protobuf.Type, end: number): void {
    const { reader } = this;
    while (reader.pos < end) {
      const tag = reader.uint32();
      const wireType = tag & WIRE_TYPE_MASK;
      const element = type.fieldsById[tag >>> WIRE_TYPE_BITS]?.resolvedType;
      if (wireType !== LENGTH_DELIMITED || !(element instanceof protobuf.Type)) reader.skipType(wireType);
      else this.countElement(element);
    }
  }

  private countElement(type: protobuf.Type): void {
    this.count++;
    if (this.count > MAX_ELEMENTS) throw new PeerMessageTooComplexError();
    const length = this.reader.uint32();
    this.countIn(type, this.reader.pos + length);
  }
}
