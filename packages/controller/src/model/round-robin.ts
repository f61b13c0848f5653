/** Long lists that are told a part at a time: each turn goes on where the one before ended. */
export function inTurn<T>(list: readonly T[], most: number, turn: number): T[] {
  if (list.length <= most) return [...list];
  const start = (turn * most) % list.length;
  return [...list.slice(start, start + most), ...list.slice(0, Math.max(0, start + most - list.length))];
}
