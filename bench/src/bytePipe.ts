/** Baseline of forwarding: pipes the bytes of engines' streams to callers and looks at none. */

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
let piped = 0;

const readBody = async (req: IncomingMessage): Promise<object> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return JSON.parse(Buffer.concat(chunks).toString("utf8")) as object;
};

const pipe = async (req: IncomingMessage, res: ServerResponse) => {
  const asked = await readBody(req);
  piped += 1;
  const engine = engineUrls[piped % engineUrls.length] ?? "";
  const order = {
    ...asked,
    ...fleetModel,
    request_id: `piped-${String(piped)}`,
    attempt: 0,
  };
  const answer = await request(`${engine}/v1/completions`, {
    method: "POST",
    body: JSON.stringify(order),
    dispatcher: agent,
  });
  res.writeHead(answer.statusCode, { "content-type": "text/event-stream" });
  await pipeline(answer.body, res);
};

const server = createServer((req, res) => {
  pipe(req, res).catch(() => res.destroy());
});
server.listen(0, "127.0.0.1", () => {
  const { port } = server.address() as AddressInfo;
  console.log(JSON.stringify({ url: `http://127.0.0.1:${String(port)}` }));
});
