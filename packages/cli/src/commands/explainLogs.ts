/** The `explain` command with log files: prints the log lines of one request. */

import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { formatRequest } from "../logs/formatRequest.js";
import { readLogLine } from "../logs/readLogLine.js";
import type { LogLine } from "../logs/types.js";

const foundExitCode = 0;
const notFoundExitCode = 1;
const unreadableExitCode = 2;

const readMatchingLines = async (
  file: string,
  requestId: string,
): Promise<readonly LogLine[]> => {
  const found: LogLine[] = [];
  const input = createReadStream(file);
  for await (const text of createInterface({ input })) {
    const line = readLogLine(text, requestId);
    if (line !== undefined) found.push(line);
  }
  return found;
};

/** Prints the request's log lines from all files; exit code 1 if there are none, 2 if a file cannot be read. */
export const explainLogs = async (
  requestId: string,
  files: readonly string[],
): Promise<number> => {
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      lines.push(...(await readMatchingLines(file, requestId)));
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      console.error(`log file "${file}" cannot be read: ${detail}`);
      return unreadableExitCode;
    }
  }
  if (lines.length === 0) {
    console.error(`no log line contains request "${requestId}"`);
    return notFoundExitCode;
  }
  console.log(formatRequest(lines));
  return foundExitCode;
};
