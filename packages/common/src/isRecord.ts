/** Documents of unknown shape. */

/** Whether a value is an object with named fields. */
export const isRecord = (
  value: unknown,
): value is Readonly<Record<string, unknown>> =>
  typeof value === "object" && value !== null && !Array.isArray(value);
