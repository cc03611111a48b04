/** Saves the router logs and the record of a soak test that found violations. */

import { mkdir, writeFile } from "node:fs/promises";
import path from "node:path";
import { resultsDirectory } from "../report/saveResult.js";
import type { SoakRun } from "./runSoak.js";

/** Writes logs and record to a new folder in `results/` and returns the folder. */
export const saveSoakLogs = async (
  seed: number,
  { record, logs }: SoakRun,
): Promise<string> => {
  const folder = path.join(
    resultsDirectory,
    `soak-${String(seed)}-${String(Date.now())}`,
  );
  await mkdir(folder, { recursive: true });
  const writing = logs.map((lines, index) =>
    writeFile(
      path.join(folder, `router-${String(index)}.jsonl`),
      lines.map((line) => `${JSON.stringify(line)}\n`).join(""),
    ),
  );
  await Promise.all(writing);
  const file = path.join(folder, "record.json");
  await writeFile(file, JSON.stringify(record, null, 1));
  return folder;
};
