import assert from "node:assert/strict";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect, type AddressInfo } from "node:net";
import { test } from "node:test";
import { OpenBodies } from "../connections/openBodies.js";
import { testSettings } from "../testing/callersListener.js";
import { createHttpServer } from "./createHttpServer.js";

const maxHeaderBytes = 1024;
const garbage = "no http\r\n\r\n";

const exchange = (port: number, text: string): Promise<string> =>
  new Promise((resolve, reject) => {
    let response = "";
    const socket = connect(port, "127.0.0.1", () => socket.write(text));
    socket.on("data", (part: Buffer) => (response += part.toString()));
    socket.on("close", () => {
      resolve(response);
    });
    socket.on("error", reject);
  });

const errorFieldsOf = (answer: string): unknown => {
  const [, body = ""] = answer.split("\r\n\r\n");
  const { error } = JSON.parse(body) as {
    error: { type: string; ran: string };
  };
  return [answer.split(" ")[1], error.type, error.ran];
};

test("unparsable and oversized requests get typed errors and reach no handler", async () => {
  const listen = { address: "127.0.0.1", port: 0 };
  const { limits } = testSettings({ headerBytes: maxHeaderBytes });
  const bodies = OpenBodies.create(Infinity);
  const log = () => undefined;
  const server = await createHttpServer({ listen, limits, bodies, log });
  let handled = 0;
  server.on("request", () => (handled += 1));
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const long = `GET / HTTP/1.1\r\nhost: a\r\nx: ${"y".repeat(4 * maxHeaderBytes)}\r\n\r\n`;
  assert.deepEqual(errorFieldsOf(await exchange(port, long)), [
    "431",
    "tooLarge",
    "no",
  ]);
  assert.deepEqual(errorFieldsOf(await exchange(port, "no http\r\n\r\n")), [
    "400",
    "malformed",
    "no",
  ]);
  assert.equal(handled, 0);
  server.close();
});

// Load: callers that send bytes which are no request behind one that is being answered.
for (const [name, head] of [
  ["has arrived", "GET / HTTP/1.1\r\nhost: a\r\n\r\n"],
  [
    "was answered before its body arrived",
    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
  ],
] as const)
  test(`a request that ${name} gets an error of the bytes behind it for its answer`, async (t) => {
    const listen = { address: "127.0.0.1", port: 0 };
    const { limits } = testSettings();
    const bodies = OpenBodies.create(Infinity);
    const log = () => undefined;
    const server = await createHttpServer({ listen, limits, bodies, log });
    const isEarly = head.startsWith("POST");
    server.on("request", (_req, res: ServerResponse) => {
      if (isEarly) {
        res.end("whole");
        return;
      }
      server.once("clientError", () => setImmediate(() => res.end("whole")));
      socket.write(garbage);
    });
    t.after(() => {
      server.close();
      server.closeAllConnections();
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    let text = "";
    const socket = connect(port, "127.0.0.1", () => socket.write(head));
    socket.on("data", (part: Buffer) => (text += part.toString()));
    socket.once("data", () => {
      if (isEarly) socket.write(garbage);
    });
    await once(socket, "close");
    assert.match(text, /^HTTP\/1.1 200/);
    assert.equal(text.split("HTTP/1.1").length, 2, text);
  });
