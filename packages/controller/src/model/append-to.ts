/** Lists by key, in which machines, jobs, objectives and messages are grouped. */

/** Adds the value to the end of the key's list, which is made if there is none. Keys keep the order of their first values. */
export function appendTo<Key, Value>(lists: Map<Key, Value[]>, key: Key, value: Value): void {
  const list = lists.get(key);
  if (list) list.push(value);
  else lists.set(key, [value]);
}
