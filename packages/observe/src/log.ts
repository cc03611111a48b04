/** Rate-limited JSON-lines log on standard output; lines are dropped when a slow reader would block the process. */

import "./enableLog.js";
import { now } from "@cardamomglade/common";
import { Roarr, ROARR } from "roarr";
import {
  createLogRateLimiter,
  processLogRate,
  tryTakeLine,
} from "./logRateLimiter.js";

/** Severity of a log line. */
export enum Severity {
  Debug = "debug",
  Info = "info",
  Warn = "warn",
  Error = "error",
}

const severityRanks: Readonly<Record<Severity, number>> = {
  [Severity.Debug]: 20,
  [Severity.Info]: 30,
  [Severity.Warn]: 40,
  [Severity.Error]: 50,
};

/** Value of a field in the context of a log line. */
export type LogValue =
  | string
  | number
  | boolean
  | undefined
  | readonly string[]
  | Readonly<Record<string, number | string>>;

/** Writes one log line; the context must not contain secrets. */
export type Log<Context extends object> = (
  severity: Severity,
  message: string,
  context?: Context,
) => void;

/** Log of lines whose context has fields of text and numbers alone. */
export type PlainLog = Log<Readonly<Record<string, string | number>>>;

// Bytes buffered for a slow reader before lines are dropped, and those kept free for warnings.
const maxBufferedBytes = 256 * 1024;
const warningReserveBytes = 64 * 1024;

const hasBufferSpace = (isWarning: boolean): boolean =>
  process.stdout.writableLength <
  maxBufferedBytes + (isWarning ? warningReserveBytes : 0);

const ignoreError = (): void => undefined;

/**
 * Lets the process live when a line cannot be written: a closed pipe, or a full disk
 * under a file. No line can tell of it, and later ones are written if they can be.
 */
const ignoreWriteErrors = (): void => {
  ROARR.teardown?.(); // its handler throws all errors but those of a closed pipe
  process.stdout.removeListener("error", ignoreError);
  process.stdout.on("error", ignoreError);
};

/**
 * Creates a log that adds `baseContext` to every line and skips lines below `minSeverity`.
 * Warnings and errors have a rate of their own: lines of a heavy load leave room for them.
 */
export const createLog = <Context extends object>(
  baseContext: Readonly<Record<string, string>>,
  minSeverity: Severity,
): Log<Context> => {
  const routineLimiter = createLogRateLimiter(processLogRate, now());
  const warningLimiter = createLogRateLimiter(processLogRate, now());
  ignoreWriteErrors();
  ROARR.write = (line) => process.stdout.write(`${line}\n`);
  const logger = Roarr.child(baseContext);
  return (severity, message, context) => {
    if (severityRanks[severity] < severityRanks[minSeverity]) return;
    const isWarning = severityRanks[severity] >= severityRanks[Severity.Warn];
    const limiter = isWarning ? warningLimiter : routineLimiter;
    if (!hasBufferSpace(isWarning)) {
      limiter.droppedLines += 1;
      return;
    }
    if (!tryTakeLine(limiter, now())) return;
    if (limiter.droppedLines > 0) {
      logger.warn({ lines: limiter.droppedLines }, "log lines left out");
      limiter.droppedLines = 0;
    }
    logger[severity]({ ...context }, message);
  };
};
