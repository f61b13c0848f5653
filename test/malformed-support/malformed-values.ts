/** Values and bodies of wrong types, and functions that put them into valid ones. */
import { pack } from '@archpost/protocol';

/** A map as it is decoded from a body. */
export type Body = Record<string, unknown>;

/** Marks a field that is to be omitted. */
export const OMITTED = Symbol('omitted');

/** Values of all types; most of them are invalid for most fields. */
export const VALUES: [string, unknown][] = [
  ['omitted', OMITTED],
  ['null', null],
  ['an empty text', ''],
  ['a text', 'text'],
  ['0', 0],
  ['-1', -1],
  ['1.5', 1.5],
  ['1e300', 1e300],
  ['not a number', Number.NaN],
  ['true', true],
  ['an empty list', []],
  ['a list of a number', [7]],
  ['an empty map', {}],
  ['bytes', new Uint8Array([1, 2])],
];

/** Returns a copy of the map with another value in this field. */
export function withField(map: Body, field: string, value: unknown): Body {
  const { [field]: _, ...otherFields } = map;
  return value === OMITTED ? otherFields : { ...otherFields, [field]: value };
}

const MAX_BODY_BYTES = 64 * 1024;

/** Bodies that are empty, too large or not a MessagePack map, by title. */
export const BODIES: [string, Uint8Array][] = [
  ['empty', Buffer.alloc(0)],
  ['never used in MessagePack', Buffer.from('c1', 'hex')],
  ['JSON', Buffer.from('{"ref":"run-a"}')],
  ['nil', pack(null)],
  ['a number', pack(7)],
  ['a text', pack('text')],
  ['a list', pack([])],
  ['a list of a map', pack([{}])],
  ['bytes', pack(new Uint8Array([1, 2]))],
  ['an extension', Buffer.from('d4010a', 'hex')],
  ['a time', Buffer.from('d6ff00000000', 'hex')],
  ['an empty map', pack({})],
  ['a truncated map', Buffer.from('81a3726566', 'hex')],
  ['a map of which the end is missing', Buffer.from('82a3726566a572756e2d61', 'hex')],
  ['a map followed by a byte', Buffer.from('8000', 'hex')],
  ['a map with a number for a key', Buffer.from('810102', 'hex')],
  ['a map with a map for a key', Buffer.from('818002', 'hex')],
  ['a map with the key __proto__', Buffer.from('81a95f5f70726f746f5f5f80', 'hex')],
  ['a map that claims to be huge', Buffer.from('dfffffffff', 'hex')],
  ['a list that claims to be huge', Buffer.from('ddffffffff', 'hex')],
  ['a text that claims to be huge', Buffer.from('dbffffffff', 'hex')],
  ['a text that is not UTF-8', Buffer.from('81a3726566a2ff80', 'hex')],
  ['nested deeply', Buffer.concat([Buffer.alloc(20_000, 0x91), Buffer.from('c0', 'hex')])],
  ['as large as allowed, no map', Buffer.alloc(MAX_BODY_BYTES)],
  ['a byte larger than allowed', Buffer.alloc(MAX_BODY_BYTES + 1)],
  ['four times as large as allowed', Buffer.alloc(4 * MAX_BODY_BYTES)],
];

/** Keys and indices from the root of a tree to one of its nodes. */
export type Path = (string | number)[];

/** Returns the paths of all tables, lists and fields in a tree. */
export function pathsIn(tree: unknown, at: Path = []): Path[] {
  if (typeof tree !== 'object' || tree === null) return [at];
  const innerPaths = Object.entries(tree).flatMap(([key, value]) =>
    pathsIn(value, [...at, Array.isArray(tree) ? Number(key) : key]),
  );
  return at.length === 0 ? innerPaths : [at, ...innerPaths];
}

/** Returns a copy of the tree with another value at this path. */
export function withValue(tree: unknown, [key, ...deeper]: Path, value: unknown): unknown {
  if (key === undefined) return value;
  const copy = structuredClone(tree) as Record<string | number, unknown>;
  const replaced = withValue(copy[key], deeper, value);
  if (replaced !== OMITTED) copy[key] = replaced;
  else if (Array.isArray(copy)) copy.splice(Number(key), 1);
  else delete copy[key];
  return copy;
}

/** Returns the result of a function, or `refused` if it throws; the text of the error isn't compared. */
export function resultOf(read: () => unknown): unknown {
  try {
    return read();
  } catch {
    return 'refused';
  }
}
