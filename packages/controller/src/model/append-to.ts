/** Grouping of values by key. */

/** Appends the value to the key's list, which is created if missing. The map keeps the order in which keys were first added. */
export function appendTo<Key, Value>(lists: Map<Key, Value[]>, key: Key, value: Value): void {
  const list = lists.get(key);
  if (list) list.push(value);
  else lists.set(key, [value]);
}
