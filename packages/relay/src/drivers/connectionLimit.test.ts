import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { connect, type AddressInfo, type Socket } from "node:net";
import { test } from "node:test";
import { eventually } from "@cardamomglade/common/testing/eventually";
import { ConnectionLimit } from "./connectionLimit.js";
import { OpenConnections } from "./openConnections.js";

const maxCount = 175;
const crowdCount = maxCount + 55;

// Load: callers that open connections in one burst, and send nothing.
test("the last closures of a burst are not logged", async (t) => {
  const server = createServer();
  const connections = OpenConnections.create(server, () => undefined);
  let loggedCount = 0;
  ConnectionLimit.create({
    server,
    connections,
    maxCount: () => maxCount,
    refuseStalled: () => false,
    onClosed: (count) => (loggedCount += count),
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const crowd: Socket[] = [];
  t.after(() => {
    for (const socket of crowd) socket.destroy();
    server.close();
  });
  let acceptedCount = 0;
  server.on("connection", () => (acceptedCount += 1));
  for (let index = 0; index < crowdCount; index += 1) {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", () => undefined); // it is closed unread
    crowd.push(socket);
  }
  await eventually(() => acceptedCount === crowdCount, "all connections");
  await eventually(
    () => loggedCount === crowdCount - connections.connectionCount(),
    "a line of the last closures",
    3000,
  );
  assert.ok(loggedCount > 0);
});
