/** Saved results of benches. */

import { mkdir, readFile, writeFile } from "node:fs/promises";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { err, isRecord, ok, type Result } from "@cardamomglade/common";
import type { Row, SavedResult } from "../types.js";

/** Folder of saved results. */
export const resultsFolder = fileURLToPath(
  new URL("../../../results/", import.meta.url),
);

/** Writes a result below `results/` and returns its file. */
export const saveResult = async (result: SavedResult): Promise<string> => {
  await mkdir(resultsFolder, { recursive: true });
  const moment = result.at.replaceAll(/[:.]/g, "-");
  const file = path.join(resultsFolder, `${result.name}-${moment}.json`);
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

/** The result in a text, or why there is none. */
export const parseResult = (text: string): Result<SavedResult, string> => {
  try {
    const value: unknown = JSON.parse(text);
    return isSavedResult(value) ? ok(value) : err("it holds no saved result");
  } catch {
    return err("it is no JSON");
  }
};

/** Reads a saved result. */
export const readResult = async (file: string): Promise<SavedResult> => {
  const parsed = parseResult(await readFile(file, "utf8"));
  if (parsed.type === "err")
    throw new Error(`file "${file}" cannot be compared: ${parsed.error}`);
  return parsed.value;
};
