/** The plain-service stand-in: runs each call and keeps a ledger of what ran. */

import {
  sendJson,
  startServer,
  type Call,
  type StandInServer,
} from "./httpServer.js";

/** One run as it happened. */
export interface ServiceLedgerEntry {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly number: number;
  readonly startedAt: number;
}

const serve = (ledger: ServiceLedgerEntry[], call: Call): boolean => {
  if (call.path === "/ledger") {
    sendJson(call.res, 200, { runs: ledger });
    return true;
  }
  if (call.path === "/health") {
    sendJson(call.res, 200, { status: "ok" });
    return true;
  }
  const requestId = String(call.req.headers["x-request-id"] ?? "");
  const number = ledger.length + 1;
  ledger.push({
    requestId,
    method: call.method,
    path: call.path,
    body: call.body,
    number,
    startedAt: Date.now(),
  });
  sendJson(call.res, 200, { number, path: call.path });
  return true;
};

/** Starts a plain service. */
export const startService = (port: number): Promise<StandInServer> => {
  const ledger: ServiceLedgerEntry[] = [];
  return startServer(port, () => (call) => serve(ledger, call));
};
