import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { test } from "node:test";
import { resetSocket } from "./resetSocket.js";

const closeOf = (socket: Socket): Promise<void> =>
  new Promise((resolve) => {
    socket.on("close", () => {
      resolve();
    });
  });

/** Resets an accepted connection after `prepare`, waits until both ends have closed, and returns the error codes of both. */
const resetAfter = async (
  prepare: (socket: Socket) => void,
): Promise<{ readonly own: string[]; readonly peer: string[] }> => {
  const seen = { own: new Array<string>(), peer: new Array<string>() };
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = connect(port, "127.0.0.1");
  client.on("error", ({ code }: NodeJS.ErrnoException) => {
    seen.peer.push(code ?? "");
  });
  const [socket] = (await once(server, "connection")) as [Socket];
  socket.on("error", ({ code }: NodeJS.ErrnoException) => {
    seen.own.push(code ?? "");
  });
  server.close();
  client.resume();
  prepare(socket);
  resetSocket(socket);
  await Promise.all([closeOf(socket), closeOf(client)]);
  return seen;
};

test("an open connection is reset", { timeout: 5000 }, async () => {
  const seen = await resetAfter(() => undefined);
  assert.deepEqual(seen, { own: [], peer: ["ECONNRESET"] });
});

// Without the wait the socket reports EINVAL, is never closed and keeps the process from ending.
test(
  "a connection that is shutting down is closed without an error",
  { timeout: 5000 },
  async () => {
    const { own } = await resetAfter((socket) => socket.end());
    assert.deepEqual(own, []);
  },
);
