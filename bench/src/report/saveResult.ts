/** Writes and reads the saved results of benchmark runs. */

import { mkdir, readFile, writeFile } from "node:fs/promises";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { err, isRecord, ok, type Result } from "@cardamomglade/common";
import type { Row, SavedResult } from "../types.js";

/** Directory of the saved results. */
export const resultsDirectory = fileURLToPath(
  new URL("../../../results/", import.meta.url),
);

/** Writes a result to a file in `results/` and returns the file's path. */
export const saveResult = async (result: SavedResult): Promise<string> => {
  await mkdir(resultsDirectory, { recursive: true });
  const timestamp = result.at.replaceAll(/[:.]/g, "-");
  const file = path.join(resultsDirectory, `${result.name}-${timestamp}.json`);
  await writeFile(file, `${JSON.stringify(result, null, 2)}\n`);
  return file;
};

const isRow = (value: unknown): value is Row =>
  isRecord(value) &&
  typeof value.name === "string" &&
  typeof value.value === "number" &&
  typeof value.unit === "string";

const isSavedResult = (value: unknown): value is SavedResult =>
  isRecord(value) &&
  typeof value.name === "string" &&
  Array.isArray(value.rows) &&
  value.rows.every(isRow);

/** Parses a saved result from JSON; returns an error message if the text is not one. */
export const parseResult = (text: string): Result<SavedResult, string> => {
  try {
    const value: unknown = JSON.parse(text);
    return isSavedResult(value) ? ok(value) : err("not a saved result");
  } catch {
    return err("invalid JSON");
  }
};

/** Reads a saved result from a file; throws if the file does not contain one. */
export const readResult = async (file: string): Promise<SavedResult> => {
  const parsed = parseResult(await readFile(file, "utf8"));
  if (parsed.type === "err")
    throw new Error(`cannot read saved result "${file}": ${parsed.error}`);
  return parsed.value;
};
