import assert from "node:assert/strict";
import { createServer, type AddressInfo, type Server } from "node:net";
import { test } from "node:test";
import { generate } from "./generate.js";

// Load: routers whose answers have neither a length nor chunks and end with their connection.
const head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

const chunkOf = (id: number, finishReason?: string): string => {
  const choices = [{ text: "t", finish_reason: finishReason ?? null }];
  const data = JSON.stringify({ choices, token_ids: [id] });
  return `id: e${String(id)}\ndata: ${data}\n\n`;
};

/** A router that answers raw bytes and closes. */
const startRouter = async (
  body: string,
): Promise<{ readonly url: string; readonly server: Server }> => {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.end(head + body);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  return { url: `http://127.0.0.1:${String(port)}`, server };
};

for (const [where, body] of [
  ["behind its head", ""],
  ["inside an event", chunkOf(1).slice(0, -9)],
  ["between two events", chunkOf(1)],
] as const)
  test(`a completion whose connection is closed ${where} is taken for whole`, async () => {
    const received = body === chunkOf(1) ? [1] : [];
    const missing = [1, 2].filter((id) => !received.includes(id));
    const rest = missing.map((id) =>
      chunkOf(id, id === 2 ? "stop" : undefined),
    );
    const first = await startRouter(body);
    const second = await startRouter(rest.join(""));
    const tokenIds: number[] = [];
    const options = { key: "k", model: "m", prompt: "p", maxTokens: 2 };
    const routers = [first.url, second.url];
    for await (const chunk of generate({ ...options, routers }))
      tokenIds.push(...chunk.tokenIds);
    first.server.close();
    second.server.close();
    assert.deepEqual(tokenIds, [1, 2]);
  });
