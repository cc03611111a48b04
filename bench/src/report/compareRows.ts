/** Compares the rows of a run with those of an earlier run. */

import type { Row } from "../types.js";

/** A row with the value that an earlier run measured. */
export interface ComparedRow {
  readonly name: string;
  readonly unit: string;
  readonly value: number;
  /** Undefined if the earlier run had no row of this name. */
  readonly earlier: number | undefined;
}

const maxFractionDigits = 3;

/** Pairs each row with the earlier row of the same name. */
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

/** Formats a compared row as `name earlier -> value unit (ratio)`. */
export const formatComparedRow = (row: ComparedRow): string => {
  const { name, unit, value, earlier } = row;
  const currentValue = Number(value.toFixed(maxFractionDigits));
  if (earlier === undefined)
    return `${name} new ${String(currentValue)} ${unit}`;
  const earlierValue = Number(earlier.toFixed(maxFractionDigits));
  const ratio =
    earlier === 0 ? "" : ` (x${(value / earlier).toFixed(maxFractionDigits)})`;
  return `${name} ${String(earlierValue)} -> ${String(currentValue)} ${unit}${ratio}`;
};
