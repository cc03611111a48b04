/** The router's structured log. */

import {
  createLog as createProcessLog,
  type Log as ProcessLog,
  Severity,
} from "@cardamomglade/observe";
import { LogLevel, type RouterIdentity } from "@cardamomglade/schema";

/** Fields of a log line besides its message; must not contain secrets. */
export interface LogContext {
  readonly requestId?: string;
  readonly customer?: string;
  readonly backEnd?: string;
  readonly attempt?: number;
  readonly offset?: number;
  readonly revision?: number;
  readonly detail?: string;
}

/** Writes a log line if its level is enabled. */
export type Log = (
  level: LogLevel,
  message: string,
  context?: LogContext,
) => void;

const severityByLevel: Readonly<Record<LogLevel, Severity>> = {
  [LogLevel.Debug]: Severity.Debug,
  [LogLevel.Info]: Severity.Info,
  [LogLevel.Warn]: Severity.Warn,
  [LogLevel.Error]: Severity.Error,
};

/** Creates a log that adds the router's name, host and zone to every line. */
export const createLog = (router: RouterIdentity, minLevel: LogLevel): Log => {
  const log: ProcessLog<LogContext> = createProcessLog(
    { router: router.name, machine: router.host, zone: router.zone },
    severityByLevel[minLevel],
  );
  return (level, message, context) => {
    log(severityByLevel[level], message, context);
  };
};
