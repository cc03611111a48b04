import assert from "node:assert/strict";
import { createServer, type IncomingMessage } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { test } from "node:test";
import { begunHeadMemoryOf, headMemoryOf } from "./headMemory.js";

const fieldCount = 950; // about as many as Node reads
const objectBytes = 40; // of a field's name and value, measured in V8's heap, for each copy of a head

const shortFields = Array.from(
  { length: fieldCount },
  (_, index) => `${index.toString(36)}:1\r\n`,
).join("");

/** Sends a head to a server and returns what it reads. */
const read = async (fields: string): Promise<IncomingMessage> => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  const request = new Promise<IncomingMessage>((resolve) => {
    server.once("request", resolve);
  });
  socket.write(`GET / HTTP/1.1\r\nhost: a\r\n${fields}\r\n`);
  const req = await request;
  socket.destroy();
  server.close();
  return req;
};

test("a head of many short fields counts as its few bytes", async () => {
  const bytes = headMemoryOf(await read(shortFields));
  assert.ok(bytes > fieldCount * objectBytes, String(bytes));
});

test("a usual head counts as more than its bytes", async () => {
  const fields = "x-a: b\r\n".repeat(20);
  // The parser counts neither the colons nor the ends of lines.
  assert.ok(headMemoryOf(await read(fields)) < fields.length);
});

test("a begun head whose fields may be short counts as its few bytes", () => {
  for (const maxFields of [fieldCount, 10 * fieldCount]) {
    const bytes = begunHeadMemoryOf(shortFields.length, maxFields);
    assert.ok(bytes > fieldCount * objectBytes, String(bytes));
  }
});
