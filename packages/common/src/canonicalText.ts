/** JSON text that is the same for equal values. */

const sortKeys = (_key: string, value: unknown): unknown => {
  if (value === null || typeof value !== "object" || Array.isArray(value))
    return value;
  const entries = Object.entries(value);
  return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
};

/** JSON with the keys of every object in order. */
export const canonicalText = (value: unknown): string =>
  JSON.stringify(value, sortKeys);
