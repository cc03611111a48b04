/** The router's log lines. */

import {
  createLog as createProcessLog,
  type Log as ProcessLog,
  Severity,
} from "@cardamomglade/observe";
import { LogLevel, type RouterIdentity } from "@cardamomglade/schema";

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

const severities: Readonly<Record<LogLevel, Severity>> = {
  [LogLevel.Debug]: Severity.Debug,
  [LogLevel.Info]: Severity.Info,
  [LogLevel.Warn]: Severity.Warn,
  [LogLevel.Error]: Severity.Error,
};

/** A log that names the router, its machine and its zone on every line. */
export const createLog = (router: RouterIdentity, lowest: LogLevel): Log => {
  const log: ProcessLog<LogContext> = createProcessLog(
    { router: router.name, machine: router.host, zone: router.zone },
    severities[lowest],
  );
  return (level, message, context) => {
    log(severities[level], message, context);
  };
};
