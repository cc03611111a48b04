/** Baseline for the cost of forwarding: a proxy that pipes the engines' response bytes to callers without parsing them. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { pipeline } from "node:stream/promises";
import { Agent, request } from "undici";
import { fleetModel } from "./harness/fleet.js";

const engineUrls = process.argv.slice(2);
const agent = new Agent({
  connections: null,
  headersTimeout: 0,
  bodyTimeout: 0,
});
let requestCount = 0;

const readBody = async (req: IncomingMessage): Promise<object> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString("utf8")) as object;
};

const forwardRequest = async (req: IncomingMessage, res: ServerResponse) => {
  const body = await readBody(req);
  requestCount += 1;
  const engine = engineUrls[requestCount % engineUrls.length] ?? "";
  const engineRequest = {
    ...body,
    ...fleetModel,
    request_id: `piped-${String(requestCount)}`,
    attempt: 0,
  };
  const engineRes = await request(`${engine}/v1/completions`, {
    method: "POST",
    body: JSON.stringify(engineRequest),
    dispatcher: agent,
  });
  res.writeHead(engineRes.statusCode, { "content-type": "text/event-stream" });
  await pipeline(engineRes.body, res);
};

const server = createServer((req, res) => {
  forwardRequest(req, res).catch(() => res.destroy());
});
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  console.log(JSON.stringify({ url: `http://127.0.0.1:${String(port)}` }));
});
