/** Long lists that are told a part at a time: each turn goes on where the one before ended. */
export function roundRobinSlice<T>(list: readonly T[], maxItems: number, turn: number): T[] {
  if (list.length <= maxItems) return [...list];
  const start = (turn * maxItems) % list.length;
  return [...list.slice(start, start + maxItems), ...list.slice(0, Math.max(0, start + maxItems - list.length))];
}
