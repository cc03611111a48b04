/** Reads from /proc what a process uses, and which signals it handles. */

import { readdir, readFile } from "node:fs/promises";

const kibPerMb = 1_000_000 / 1024;

/** What a process uses at one moment. */
export interface ProcessUsage {
  /** The most resident memory since its start. */
  readonly peakMemoryMb: number;
  readonly descriptorCount: number;
}

const readStatus = (pid: number): Promise<string> =>
  readFile(`/proc/${String(pid)}/status`, "utf8");

/** Returns what a process uses; undefined if it has ended. */
export const readUsage = async (
  pid: number,
): Promise<ProcessUsage | undefined> => {
  try {
    const peakKib = /^VmHWM:\s*(\d+)/m.exec(await readStatus(pid))?.[1];
    const descriptors = await readdir(`/proc/${String(pid)}/fd`);
    if (peakKib === undefined) return undefined;
    return {
      peakMemoryMb: Number(peakKib) / kibPerMb,
      descriptorCount: descriptors.length,
    };
  } catch {
    return undefined; // it has ended
  }
};

const hangUpBit = 1n; // of a mask of signals: SIGHUP has the number 1

/**
 * Whether a process handles SIGHUP, or has ended. Until Node.js runs the first line of the
 * bundle, the signal ends it: no router can help that.
 */
export const canHangUp = async (pid: number): Promise<boolean> => {
  try {
    const caught = /^SigCgt:\s*(\w+)/m.exec(await readStatus(pid))?.[1];
    return (BigInt(`0x${caught ?? "0"}`) & hangUpBit) !== 0n;
  } catch {
    return true; // it has ended
  }
};
