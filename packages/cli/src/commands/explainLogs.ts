/** Explains a request from log files of several processes. */

import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { formatRequest } from "../logs/formatRequest.js";
import { readLogLine } from "../logs/readLogLine.js";
import type { LogLine } from "../logs/types.js";

const foundExitCode = 0;
const notFoundExitCode = 1;
const unreadableExitCode = 2;

const readFile = async (
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

/** Prints the request's lines of all files; 1 where there are none, 2 where a file cannot be read. */
export const explainLogs = async (
  requestId: string,
  files: readonly string[],
): Promise<number> => {
  const lines: LogLine[] = [];
  for (const file of files) {
    try {
      lines.push(...(await readFile(file, requestId)));
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      console.error(`log file "${file}" cannot be read: ${detail}`);
      return unreadableExitCode;
    }
  }
  if (lines.length === 0) {
    console.error(`no line names request "${requestId}"`);
    return notFoundExitCode;
  }
  console.log(formatRequest(lines));
  return foundExitCode;
};
