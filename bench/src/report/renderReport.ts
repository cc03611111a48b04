/** Renders a run's rows and plots as a self-contained HTML page, without external resources. */

import type { SavedResult } from "../types.js";
import { compareRows, formatComparedRow } from "./compareRows.js";
import { formatRow } from "./formatRow.js";
import { isWithinBound } from "./isWithinBound.js";
import { renderBounds, renderPlots } from "./renderPlots.js";

const style = `body{font:14px sans-serif;margin:24px;max-width:900px}
pre{background:#f6f6f6;padding:10px;overflow:auto}.missed{color:#a00}`;

const entities: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
};

const escapeText = (text: string): string =>
  text.replace(/[&<>]/g, (character) => entities[character] ?? character);

const renderRows = ({ rows }: SavedResult): string[] =>
  rows.map((row) => {
    const line = escapeText(formatRow(row));
    return isWithinBound(row) ? line : `<span class="missed">${line}</span>`;
  });

const renderComparison = (
  { rows }: SavedResult,
  earlier: SavedResult | undefined,
): string[] => {
  if (earlier === undefined) return [];
  const lines = compareRows(rows, earlier.rows).map(formatComparedRow);
  return [
    `<h2>Compared with the run of ${escapeText(earlier.at)}</h2>`,
    `<pre>${escapeText(lines.join("\n"))}</pre>`,
  ];
};

/** Renders the report, with a comparison if an earlier result is given. */
export const renderReport = (
  result: SavedResult,
  earlier?: SavedResult,
): string => {
  const bounds = renderBounds(result.rows);
  const plots = [
    ...(bounds === undefined ? [] : [bounds]),
    ...renderPlots(result.rows),
  ];
  const title = `${escapeText(result.name)}, seed ${String(result.seed)}`;
  return [
    "<!doctype html>",
    `<html lang="en"><head><meta charset="utf-8"><title>${title}</title><style>${style}</style></head><body>`,
    `<h1>${title}</h1><p>${escapeText(result.at)}</p>`,
    `<pre>${renderRows(result).join("\n")}</pre>`,
    ...renderComparison(result, earlier),
    ...plots.map(({ svg }) => `<figure>${svg}</figure>`),
    "</body></html>",
    "",
  ].join("\n");
};
