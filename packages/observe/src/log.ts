/** JSON-line logs on standard output, bounded in volume; a slow reader never blocks the process. */

import "./enableLog.js";
import { now } from "@cardamomglade/common";
import { Roarr, ROARR } from "roarr";
import { createLineBudget, takeLine } from "./lineBudget.js";

/** How much a line matters. */
export enum Severity {
  Debug = "debug",
  Info = "info",
  Warn = "warn",
  Error = "error",
}

const ranks: Readonly<Record<Severity, number>> = {
  [Severity.Debug]: 20,
  [Severity.Info]: 30,
  [Severity.Warn]: 40,
  [Severity.Error]: 50,
};

/** A value that a line may carry. */
export type LogValue =
  | string
  | number
  | boolean
  | undefined
  | readonly string[]
  | Readonly<Record<string, number | string>>;

/** Writes log lines at or above a severity; the context never holds a secret. */
export type Log<Context extends object> = (
  severity: Severity,
  message: string,
  context?: Context,
) => void;

// Bytes that may wait for a slow reader before lines are left out.
const mostWaitingBytes = 256 * 1024;

const hasRoom = (): boolean => process.stdout.writableLength < mostWaitingBytes;

/** A log that carries `names` on every line. */
export const createLog = <Context extends object>(
  names: Readonly<Record<string, string>>,
  lowest: Severity,
): Log<Context> => {
  const budget = createLineBudget(now());
  ROARR.write = (line) => process.stdout.write(`${line}\n`);
  const logger = Roarr.child(names);
  return (severity, message, context) => {
    if (ranks[severity] < ranks[lowest]) return;
    if (!hasRoom()) {
      budget.leftOut += 1;
      return;
    }
    if (!takeLine(budget, now())) return;
    if (budget.leftOut > 0) {
      logger.warn({ lines: budget.leftOut }, "log lines left out");
      budget.leftOut = 0;
    }
    logger[severity]({ ...context }, message);
  };
};
