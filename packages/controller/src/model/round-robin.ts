/** Sending of long lists in parts. */

/**
 * Returns at most `maxItems` items of the list. Each turn starts where the previous turn ended and wraps around at the end of the
 * list. A list that fits is returned whole.
 */
export function roundRobinSlice<T>(list: readonly T[], maxItems: number, turn: number): T[] {
  if (list.length <= maxItems) return [...list];
  const start = (turn * maxItems) % list.length;
  return [...list.slice(start, start + maxItems), ...list.slice(0, Math.max(0, start + maxItems - list.length))];
}
