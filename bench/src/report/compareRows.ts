/** Compares rows with those of an earlier run. */

import type { Row } from "../types.js";

/** A row beside its earlier value. */
export interface ComparedRow {
  readonly name: string;
  readonly unit: string;
  readonly value: number;
  /** Undefined where the earlier run had no such row. */
  readonly earlier: number | undefined;
}

const maxDigits = 3;

/** Every row of now beside the row of its name then. */
export const compareRows = (
  rows: readonly Row[],
  earlier: readonly Row[],
): ComparedRow[] =>
  rows.map(({ name, unit, value }) => ({
    name,
    unit,
    value,
    earlier: earlier.find((row) => row.name === name)?.value,
  }));

/** One line: `name earlier -> value unit (ratio)`. */
export const formatCompared = (row: ComparedRow): string => {
  const { name, unit, value, earlier } = row;
  const now = Number(value.toFixed(maxDigits));
  if (earlier === undefined) return `${name} new ${String(now)} ${unit}`;
  const then = Number(earlier.toFixed(maxDigits));
  const ratio =
    earlier === 0 ? "" : ` (x${(value / earlier).toFixed(maxDigits)})`;
  return `${name} ${String(then)} -> ${String(now)} ${unit}${ratio}`;
};
