/** Formats a row as `name value unit bound verdict`. */

import type { Row } from "../types.js";
import { isWithinBound } from "./isWithinBound.js";

const maxFractionDigits = 3;

const formatNumber = (value: number): string =>
  Number.isInteger(value) ? String(value) : value.toFixed(maxFractionDigits);

const formatBound = ({ bound }: Row): string => {
  if (bound === undefined) return "-";
  const sign = bound.type === "atMost" ? "<=" : ">=";
  return `${sign}${formatNumber(bound.value)}`;
};

const verdictOf = (row: Row): string => {
  if (row.bound === undefined) return "-";
  return isWithinBound(row) ? "ok" : "MISSED";
};

/** Formats a row as one line of the benchmark's output. */
export const formatRow = (row: Row): string => {
  const { name, value, unit } = row;
  return `${name} ${formatNumber(value)} ${unit} ${formatBound(row)} ${verdictOf(row)}`;
};
