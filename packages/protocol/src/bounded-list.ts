/**
 * Lists of values from outside. Zod's own list schema examines all elements and keeps an error of hundreds of bytes for each
 * invalid one, although an invalid element takes as little as a byte and the first error refuses the list.
 */
import * as z from 'zod';

/** Elements that are validated together. At most this many errors exist at a time. */
const ELEMENTS_PER_CHUNK = 256;

/** The path from a value to the part of it that is invalid. */
type IssuePath = PropertyKey[];

/**
 * Returns a schema of lists, like `z.array`, whose validation ends soon after the first invalid element and reports that one.
 *
 * @param maxLength maximum number of elements
 */
export function boundedList<T>(element: z.ZodType<T>, maxLength = Number.POSITIVE_INFINITY): z.ZodType<T[]> {
  const chunkSchema = z.array(element);
  return z.unknown().transform((value, context) => {
    const isList = Array.isArray(value) && value.length <= maxLength;
    const parsed = isList ? parseInChunks(chunkSchema, value) : { issuePath: [] };
    if (Array.isArray(parsed)) return parsed;
    context.issues.push({ code: 'custom', input: value, path: parsed.issuePath });
    return z.NEVER;
  });
}

/** Returns the parsed elements, or the path to what is invalid in the first invalid element. */
function parseInChunks<T>(chunkSchema: z.ZodType<T[]>, values: unknown[]): T[] | { issuePath: IssuePath } {
  const elements: T[] = [];
  for (let start = 0; start < values.length; start += ELEMENTS_PER_CHUNK) {
    const { data, error } = chunkSchema.safeParse(values.slice(start, start + ELEMENTS_PER_CHUNK));
    if (error) {
      const [index, ...rest] = error.issues[0]?.path ?? [];
      return { issuePath: [start + Number(index), ...rest] };
    }
    for (const element of data) elements.push(element);
  }
  return elements;
}
