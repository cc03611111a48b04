import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { eventually } from "../testing/eventually.js";
import {
  addressesOf,
  readUnacknowledgedBytes,
  unacknowledgedBytesIn,
} from "./connectionTable.js";

const uploadBytes = 1024 * 1024; // the system takes it for a process that reads nothing

/** Both ends of a connection whose other side reads nothing until it is resumed. */
const connectTo = async (t: TestContext, host: string) => {
  const others: Socket[] = [];
  const server = createServer((socket) => {
    socket.pause();
    others.push(socket);
  });
  server.listen(0, host);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, host);
  await once(socket, "connect");
  t.after(() => {
    for (const one of [socket, ...others]) one.destroy();
    server.close();
  });
  await eventually(() => others.length === 1, "the connection");
  return { socket, resume: () => others[0]?.resume() };
};

for (const host of ["127.0.0.1", "::1"])
  test(`bytes that a process does not read count as acknowledged (${host})`, async (t) => {
    const { socket, resume } = await connectTo(t, host);
    const addresses = addressesOf(socket);
    assert.ok(addresses);
    assert.equal(await readUnacknowledgedBytes(addresses), 0);
    socket.write(Buffer.alloc(uploadBytes));
    const waiting = await readUnacknowledgedBytes(addresses);
    assert.ok(waiting !== undefined && waiting > 0, String(waiting));
    resume();
    let left = waiting;
    while (left > 0) left = (await readUnacknowledgedBytes(addresses)) ?? -1;
    assert.equal(left, 0);
  });

test("a connection that is not in the table has no bytes that wait", () => {
  const addresses = {
    localAddress: "127.0.0.1",
    localPort: 40_000,
    remoteAddress: "127.0.0.1",
    remotePort: 8080,
  };
  const line =
    "   1: 0100007F:9C40 0100007F:1F90 01 0000A00F:00000001 00:00000000 00000000 0 0 7 1\n";
  assert.equal(unacknowledgedBytesIn(line, addresses), 0xa00f);
  const other = { ...addresses, localPort: 40_001 };
  assert.equal(unacknowledgedBytesIn(line, other), undefined);
});
