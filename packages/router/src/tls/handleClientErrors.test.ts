import assert from "node:assert/strict";
import { connect, type AddressInfo } from "node:net";
import { test } from "node:test";
import { OpenBodies } from "../connections/openBodies.js";
import { testSettings } from "../testing/callersListener.js";
import { createHttpServer } from "./createHttpServer.js";

const maxHeaderBytes = 1024;

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
