/** The plain-service stand-in: runs each call and keeps a ledger of what ran. */

import type { Socket } from "node:net";
import type { CloseStage, Faults } from "./faults.js";
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

/** What the service knows of its calls. */
export interface ServiceLedger {
  readonly runs: ServiceLedgerEntry[];
  /** Request ids in the order in which calls arrived, run or not. */
  readonly arrivals: string[];
}

interface Service {
  readonly ledger: ServiceLedger;
  readonly faults: Faults;
  /** Sockets that are closed when their next call arrives. */
  readonly closing: WeakSet<Socket>;
}

const missingBytes = 64;

const run = ({ ledger }: Service, requestId: string, call: Call): object => {
  const { method, path, body } = call;
  const number = ledger.runs.length + 1;
  const startedAt = Date.now();
  ledger.runs.push({ requestId, method, path, body, number, startedAt });
  return { number, path };
};

const answerPart = ({ res }: Call, value: object): void => {
  const text = JSON.stringify(value);
  const length = String(text.length + missingBytes);
  res.writeHead(200, {
    "content-type": "application/json",
    "content-length": length,
  });
  res.write(text, () => res.socket?.destroy());
};

const closeAt = (
  stage: CloseStage,
  service: Service,
  requestId: string,
  call: Call,
): void => {
  const { socket } = call.req;
  if (stage === "beforeRun") {
    socket.destroy();
    return;
  }
  const answer = run(service, requestId, call);
  switch (stage) {
    case "beforeHeaders":
      socket.destroy();
      return;
    case "midBody":
      answerPart(call, answer);
      return;
    case "afterAnswer":
      call.res.on("finish", () => socket.destroy());
      sendJson(call.res, 200, answer);
      return;
    case "keepAlive":
      service.closing.add(socket);
      sendJson(call.res, 200, answer);
  }
};

const serve = (service: Service, call: Call): boolean => {
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
  if (service.closing.has(call.req.socket)) {
    call.req.socket.destroy();
    return true;
  }
  const fault = service.faults.take("close", call.path);
  if (fault !== undefined) closeAt(fault.stage, service, requestId, call);
  else sendJson(call.res, 200, run(service, requestId, call));
  return true;
};

/** Starts a plain service. */
export const startService = (port: number): Promise<StandInServer> => {
  const ledger = { runs: [], arrivals: [] };
  return startServer(port, (faults) => {
    const service = { ledger, faults, closing: new WeakSet<Socket>() };
    return (call) => serve(service, call);
  });
};
