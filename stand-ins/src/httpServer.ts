/** HTTP server of the stand-ins, with the `/faults` endpoint. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { applyImmediately, Faults, type Fault } from "./faults.js";

/** A request with its parsed URL and body. */
export interface Call {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  readonly body: string;
}

/** Handles a call; returns false if the path is unknown. */
export type Handler = (call: Call) => boolean | Promise<boolean>;

/** A running stand-in. */
export interface StandInServer {
  readonly url: string;
  readonly port: number;
  readonly faults: Faults;
  close(): Promise<void>;
}

const readBody = async (req: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
};

/** Sends a JSON response. */
export const sendJson = (
  res: ServerResponse,
  status: number,
  value: unknown,
): void => {
  if (res.destroyed) return;
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(value));
};

const handleFaults = (faults: Faults, call: Call): boolean => {
  if (call.path !== "/faults") return false;
  if (call.method === "DELETE") faults.clear();
  if (call.method === "POST") {
    const parsed = JSON.parse(call.body) as Fault | Fault[];
    const posted = Array.isArray(parsed) ? parsed : [parsed];
    for (const fault of posted) {
      faults.add(fault);
      applyImmediately(fault);
    }
  }
  sendJson(call.res, 200, { faults: faults.list() });
  return true;
};

const isConnectionDropped = (
  faults: Faults,
  req: IncomingMessage,
  path: string,
): boolean => {
  if (path === "/ledger") return false;
  if (faults.consume("outage") !== undefined) return true;
  return faults.peek("dropConnections")?.fromPort === req.socket.remotePort;
};

const respond = async (
  faults: Faults,
  handle: Handler,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> => {
  const url = new URL(req.url ?? "/", "http://stand-in");
  const body = await readBody(req);
  const path = url.pathname;
  const call: Call = {
    req,
    res,
    method: req.method ?? "GET",
    path,
    query: url.searchParams,
    body,
  };
  if (handleFaults(faults, call)) return;
  if (isConnectionDropped(faults, req, path)) {
    req.socket.destroy();
    return;
  }
  const refused = faults.consume("refuse", path);
  if (refused !== undefined) {
    sendJson(res, refused.status ?? 503, { error: "refused on order" });
    return;
  }
  const delay = faults.consume("delay", path);
  if (delay !== undefined) await sleep(delay.byMs);
  if (faults.consume("dropAnswer", path) !== undefined) dropAnswer(res);
  const isHandled = await handle(call);
  if (!isHandled) sendJson(res, 404, { error: `no such path ${path}` });
};

// The call is executed, but the connection is closed instead of sending the response.
const dropAnswer = (res: ServerResponse): void => {
  res.writeHead = () => {
    res.socket?.destroy();
    return res;
  };
};

const listen = (server: Server, port: number): Promise<number> =>
  new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () => {
      resolve((server.address() as AddressInfo).port);
    });
  });

/** Starts a stand-in; port 0 takes a free one. */
export const startServer = async (
  port: number,
  createHandler: (faults: Faults) => Handler,
): Promise<StandInServer> => {
  const faults = Faults.create();
  const handle = createHandler(faults);
  const server = createServer((req, res) => {
    respond(faults, handle, req, res).catch((error: unknown) => {
      if (!res.headersSent) sendJson(res, 500, { error: String(error) });
    });
  });
  server.keepAliveTimeout = 60_000;
  const boundPort = await listen(server, port);
  return {
    url: `http://127.0.0.1:${String(boundPort)}`,
    port: boundPort,
    faults,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
};
