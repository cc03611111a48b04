/** JSON-line logs. */

import "./enableLog.js";
import { Roarr, ROARR } from "roarr";
import { LogLevel, type RouterIdentity } from "@cardamomglade/schema";

const ranks: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Debug]: 20,
  [LogLevel.Info]: 30,
  [LogLevel.Warn]: 40,
  [LogLevel.Error]: 50,
};

/** What a log line may name besides its message; never a secret. */
export interface LogContext {
  readonly requestId?: string;
  readonly customer?: string;
  readonly backEnd?: string;
  readonly attempt?: number;
  readonly offset?: number;
  readonly revision?: number;
  readonly detail?: string;
}

/** Writes log lines at or above a level. */
export type Log = (
  level: LogLevel,
  message: string,
  context?: LogContext,
) => void;

/** A log that names the router, its machine and its zone on every line. */
export const createLog = (router: RouterIdentity, lowest: LogLevel): Log => {
  ROARR.write = (line) => process.stdout.write(`${line}\n`);
  const logger = Roarr.child({
    router: router.name,
    machine: router.host,
    zone: router.zone,
  });
  return (level, message, context = {}) => {
    if (ranks[level] < ranks[lowest]) return;
    logger[level]({ ...context }, message);
  };
};
