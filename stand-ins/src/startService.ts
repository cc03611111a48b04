/** Stand-in for a plain HTTP service: executes each call and records it in a ledger. */

import type { Socket } from "node:net";
import type { CloseStage, Faults } from "./faults.js";
import {
  sendJson,
  startServer,
  type Call,
  type StandInServer,
} from "./httpServer.js";

/** One executed call. */
export interface ServiceLedgerEntry {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly number: number;
  readonly startedAt: number;
}

/** Calls that the service has received and executed. */
export interface ServiceLedger {
  readonly runs: ServiceLedgerEntry[];
  /** Request ids of all received calls in order of arrival, executed or not. */
  readonly arrivals: string[];
}

interface ServiceContext {
  readonly ledger: ServiceLedger;
  readonly faults: Faults;
  /** Sockets to close when the next call arrives on them. */
  readonly closeOnNextCall: WeakSet<Socket>;
}

const truncatedBytes = 64;

const runCall = (
  { ledger }: ServiceContext,
  requestId: string,
  call: Call,
): object => {
  const { method, path, body } = call;
  const number = ledger.runs.length + 1;
  const startedAt = Date.now();
  ledger.runs.push({ requestId, method, path, body, number, startedAt });
  return { number, path };
};

const sendTruncatedJson = ({ res }: Call, value: object): void => {
  const text = JSON.stringify(value);
  const length = String(text.length + truncatedBytes);
  res.writeHead(200, {
    "content-type": "application/json",
    "content-length": length,
  });
  res.write(text, () => res.socket?.destroy());
};

const closeAt = (
  stage: CloseStage,
  service: ServiceContext,
  requestId: string,
  call: Call,
): void => {
  const { socket } = call.req;
  if (stage === "beforeRun") {
    socket.destroy();
    return;
  }
  const result = runCall(service, requestId, call);
  switch (stage) {
    case "beforeHeaders":
      socket.destroy();
      return;
    case "midBody":
      sendTruncatedJson(call, result);
      return;
    case "afterAnswer":
      call.res.on("finish", () => socket.destroy());
      sendJson(call.res, 200, result);
      return;
    case "keepAlive":
      service.closeOnNextCall.add(socket);
      sendJson(call.res, 200, result);
  }
};

const handle = (service: ServiceContext, call: Call): boolean => {
  if (call.path === "/ledger") {
    sendJson(call.res, 200, service.ledger);
    return true;
  }
  if (call.path === "/health") {
    sendJson(call.res, 200, { status: "ok" });
    return true;
  }
  const requestId = String(call.req.headers["x-request-id"] ?? "");
  service.ledger.arrivals.push(requestId);
  if (service.closeOnNextCall.has(call.req.socket)) {
    call.req.socket.destroy();
    return true;
  }
  const fault = service.faults.consume("close", call.path);
  if (fault !== undefined) closeAt(fault.stage, service, requestId, call);
  else sendJson(call.res, 200, runCall(service, requestId, call));
  return true;
};

/** Starts a plain service; port 0 takes a free one. */
export const startService = (port: number): Promise<StandInServer> => {
  const ledger = { runs: [], arrivals: [] };
  return startServer(port, (faults) => {
    const service = { ledger, faults, closeOnNextCall: new WeakSet<Socket>() };
    return (call) => handle(service, call);
  });
};
