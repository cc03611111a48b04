/** Canonical JSON: equal values give the same text. */

const sortKeys = (_key: string, value: unknown): unknown => {
  if (value === null || typeof value !== "object" || Array.isArray(value))
    return value;
  const entries = Object.entries(value);
  return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
};

/** Serializes a value as JSON with sorted object keys. */
export const canonicalJson = (value: unknown): string =>
  JSON.stringify(value, sortKeys);
