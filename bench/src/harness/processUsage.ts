/** Reads the CPU time and resident memory of a process from `/proc`. */

import { readFile } from "node:fs/promises";

/** CPU time and resident memory of a process. */
export interface ProcessUsage {
  readonly processorMs: number;
  readonly residentBytes: number;
}

const msPerTick = 10;
const bytesPerPage = 4096;
const userTicksField = 11;
const systemTicksField = 12;
const residentPagesField = 21;

/** Reads the usage of a running process. */
export const readUsage = async (pid: number): Promise<ProcessUsage> => {
  const text = await readFile(`/proc/${String(pid)}/stat`, "utf8");
  // The command name may contain spaces; the fields after it do not.
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const numberAt = (field: number) => Number(fields[field] ?? 0);
  return {
    processorMs:
      (numberAt(userTicksField) + numberAt(systemTicksField)) * msPerTick,
    residentBytes: numberAt(residentPagesField) * bytesPerPage,
  };
};
