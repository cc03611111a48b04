/** Bounds maps whose entries are in the order of their age. */

/** Removes entries that are too old, and the oldest of too many. */
export const removeOldest = <Key, Value>(
  map: Map<Key, Value>,
  maxSize: number,
  isOld: (value: Value) => boolean,
): void => {
  for (const [key, value] of map)
    if (isOld(value) || map.size > maxSize) map.delete(key);
};
