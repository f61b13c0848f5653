/** Long lists that are sent a part at a time. */

/**
 * At most `maxItems` of the list, each turn beginning where the one before ended; after the last item it goes on with the
 * first. A list that fits is returned whole.
 */
export function roundRobinSlice<T>(list: readonly T[], maxItems: number, turn: number): T[] {
  if (list.length <= maxItems) return [...list];
  const start = (turn * maxItems) % list.length;
  return [...list.slice(start, start + maxItems), ...list.slice(0, Math.max(0, start + maxItems - list.length))];
}
