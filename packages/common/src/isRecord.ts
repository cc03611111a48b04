/** Type guard for parsed JSON of unknown shape. */

/** Whether a value is a plain object, neither null nor an array. */
export const isRecord = (
  value: unknown,
): value is Readonly<Record<string, unknown>> =>
  typeof value === "object" && value !== null && !Array.isArray(value);
