/**
 * Checks the structure of MessagePack bytes before they are decoded: a decoder reserves memory for each list and map that the
 * bytes announce, also if the bytes turn out to end earlier, and it accepts text that is not UTF-8.
 */
import { isUtf8 } from 'node:buffer';

/** Why bytes are not exactly one MessagePack value. */
export type StructureFault =
  /** the bytes end before the values that they announce; each announced value takes at least one byte */
  | 'truncated'
  /** bytes follow the value */
  | 'trailing bytes'
  /** there are more lists and maps than the caller allows */
  | 'too complex';

/** What follows the header of a value: bytes that are no values, text, or as many values for each element of a list or map. */
const TEXT = -1;
const BYTES = 0;
const LIST = 1;
const MAP = 2;

/** The type of an extension follows its header. */
const EXTENSION_TYPE_BYTES = 1;

/** How to read a value, by its first byte. The arrays are flat because a value is read in a few nanoseconds. */
const CONTENT = new Int8Array(0x100);
/** length that is known from the first byte: of bytes and text in bytes, of lists and maps in elements */
const KNOWN_LENGTH = new Uint8Array(0x100);
/** size of the number that gives the rest of the length */
const LENGTH_BYTES = new Uint8Array(0x100);

/** Describes consecutive types. `lengthBytes` is that of each type. */
function describeTypes(first: number, content: number, lengthBytes: readonly number[]): void {
  CONTENT.fill(content, first, first + lengthBytes.length);
  LENGTH_BYTES.set(lengthBytes, first);
}

/** Describes consecutive types whose length is known: that of each type. */
function describeFixedTypes(first: number, content: number, lengths: readonly number[]): void {
  CONTENT.fill(content, first, first + lengths.length);
  KNOWN_LENGTH.set(lengths, first);
}

// The numbers of the types are those of https://github.com/msgpack/msgpack/blob/master/spec.md. Types that are not named here
// have no more bytes: small integers, nil, false and true, and 0xc1, which the decoder rejects.
describeFixedTypes(0x80, MAP, [...Array(0x10).keys()]);
describeFixedTypes(0x90, LIST, [...Array(0x10).keys()]);
describeFixedTypes(0xa0, TEXT, [...Array(0x20).keys()]);
// binary
describeTypes(0xc4, BYTES, [1, 2, 4]);
// extensions
describeTypes(0xc7, BYTES, [1, 2, 4]);
KNOWN_LENGTH.fill(EXTENSION_TYPE_BYTES, 0xc7, 0xca);
// floats, unsigned and signed integers
describeFixedTypes(0xca, BYTES, [4, 8, 1, 2, 4, 8, 1, 2, 4, 8]);
// extensions of fixed size
describeFixedTypes(
  0xd4,
  BYTES,
  [1, 2, 4, 8, 16].map((size) => EXTENSION_TYPE_BYTES + size),
);
describeTypes(0xd9, TEXT, [1, 2, 4]);
describeTypes(0xdc, LIST, [2, 4]);
describeTypes(0xde, MAP, [2, 4]);

/** Called with the start and the end of each text in the bytes. */
type TextVisitor = (start: number, end: number) => void;

/**
 * Checks that the bytes are exactly one value. Returns null if they are. Takes time in proportion to the bytes, and no memory.
 *
 * @param maxContainers maximum number of lists and maps
 * @param visitText called with each text before the fault
 */
export function findStructureFault(
  bytes: Uint8Array,
  maxContainers = Number.POSITIVE_INFINITY,
  visitText: TextVisitor | null = null,
): StructureFault | null {
  let position = 0;
  let containers = 0;
  for (let pendingValues = 1; pendingValues > 0; pendingValues--) {
    if (pendingValues > bytes.length - position) return 'truncated';
    const type = bytes[position++] as number;
    const content = CONTENT[type] as number;
    const length = (KNOWN_LENGTH[type] as number) + readNumber(bytes, position, LENGTH_BYTES[type] as number);
    position += LENGTH_BYTES[type] as number;
    if (content >= LIST) {
      pendingValues += content * length;
      containers++;
      if (containers > maxContainers) return 'too complex';
      continue;
    }
    position += length;
    if (content === TEXT) visitText?.(position - length, position);
  }
  return faultAtEnd(position, bytes.length);
}

/** Returns the fault of bytes whose values end at `position`. */
function faultAtEnd(position: number, length: number): StructureFault | null {
  if (position === length) return null;
  return position < length ? 'trailing bytes' : 'truncated';
}

/** Reads a big-endian number of this size. Bytes behind the end count as 0: the values behind them are then found to be missing. */
function readNumber(bytes: Uint8Array, start: number, size: number): number {
  let value = 0;
  for (let index = start; index < start + size; index++) value = value * 0x100 + (bytes[index] ?? 0);
  return value;
}

/** Whether every text in the bytes, which must have no structure fault, is UTF-8. */
export function hasValidTexts(bytes: Uint8Array): boolean {
  let isValid = true;
  findStructureFault(bytes, Number.POSITIVE_INFINITY, (start, end) => {
    isValid &&= isUtf8(bytes.subarray(start, end));
  });
  return isValid;
}
