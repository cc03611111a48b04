import assert from "node:assert/strict";
import { createServer, type AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Priority } from "@cardamomglade/schema";
import { buildConnector } from "undici";
import { EngineClient } from "./engineClient.js";
import type { EngineStreamEvent } from "./types.js";

const refusal = "HTTP/1.1 503 X\r\ncontent-length: 4\r\n\r\nfull";

const paramsOf = (requestId: string) => ({
  requestId,
  attempt: 0,
  model: "m",
  version: "v",
  prompt: "p",
  maxTokens: 9,
  stop: [],
  priority: Priority.Standard,
  prefix: [],
});

// Load: a faulty engine writes an earlier refusal once more on a kept connection.
test("an earlier refusal that an engine writes once more is taken for the next stream's", async (t) => {
  const server = createServer((socket) => {
    let calls = 0;
    socket.on("error", () => undefined);
    socket.on("data", () => {
      calls += 1;
      if (calls > 1 || socket.remotePort === firstPort) socket.write(refusal);
      else if (firstPort === undefined) {
        firstPort = socket.remotePort;
        socket.write(refusal);
      } else socket.destroy();
    });
  });
  let firstPort: number | undefined;
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const client = EngineClient.create(buildConnector({}));
  t.after(async () => {
    await client.close();
    server.close();
  });
  const failureOf = (requestId: string): Promise<string> =>
    new Promise((resolve) => {
      const onEvent = (event: EngineStreamEvent) => {
        if (event.type === "broken") resolve(event.cause.type);
      };
      const url = `http://127.0.0.1:${String(port)}`;
      client.generate(url, paramsOf(requestId), onEvent);
    });
  assert.equal(await failureOf("one"), "refused");
  await sleep(20);
  assert.equal(await failureOf("two"), "connection");
});
