/** Log lines of ports that a process opens. */

import { assertNever, type PortEvent } from "@cardamomglade/common";
import { createLimitedLog } from "./limitedLog.js";
import { Severity, type PlainLog } from "./log.js";

/** What a port is for, and its address. */
export interface LoggedPort {
  readonly use: string;
  readonly address: { readonly host: string; readonly port: number };
}

/** Creates a function that logs the events of one port. */
export const createPortLog = (
  { use, address: { host, port } }: LoggedPort,
  log: PlainLog,
): ((event: PortEvent) => void) => {
  const limitedLog = createLimitedLog(log);
  const base = { use, address: `${host}:${String(port)}` };
  return (event) => {
    switch (event.type) {
      case "blocked": {
        const { reason } = event;
        log(Severity.Warn, "port cannot be opened yet", { ...base, reason });
        return;
      }
      case "opened":
        if (event.hasBeenBlocked) log(Severity.Info, "port is open", base);
        return;
      case "failed": {
        const { reason } = event;
        limitedLog(Severity.Warn, "port has an error", { ...base, reason });
        return;
      }
      default:
        assertNever(event);
    }
  };
};
