import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type AddressInfo, type Server } from "node:net";
import { test } from "node:test";
import { ConnectionOutcome, probeConnection } from "./probeConnection.js";

const host = "127.0.0.1";

const listen = async (server: Server): Promise<number> => {
  server.listen(0, host);
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
};

test("a process that only resets its connections is taken for ended", async () => {
  const server = createServer((socket) => {
    socket.resetAndDestroy();
  });
  const port = await listen(server);
  const result = await probeConnection({ host, port }, 500);
  server.close();
  assert.equal(result, ConnectionOutcome.Connected);
});

test("a process that has ended is taken for one that runs", async () => {
  const server = createServer();
  const port = await listen(server);
  server.close();
  await once(server, "close");
  const result = await probeConnection({ host, port }, 500);
  assert.equal(result, ConnectionOutcome.Refused);
});
