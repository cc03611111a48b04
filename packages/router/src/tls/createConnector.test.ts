import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import type { AddressInfo } from "node:net";
import { createServer } from "node:https";
import { tmpdir } from "node:os";
import path from "node:path";
import { test } from "node:test";
import { generate } from "selfsigned";
import { Agent, request } from "undici";
import { createConnector } from "./createConnector.js";

const discardLog = () => undefined;

test("a client trusts only the configured certificate authority", async () => {
  const folder = await mkdtemp(path.join(tmpdir(), "cardamomglade-tls-"));
  const authorityFile = path.join(folder, "authority.pem");
  const extensions = [
    {
      name: "subjectAltName" as const,
      altNames: [{ type: 7 as const, ip: "127.0.0.1" }],
    },
  ];
  const server = await generate([{ name: "commonName", value: "engine" }], {
    extensions,
  });
  const untrusted = await generate([{ name: "commonName", value: "stranger" }]);
  const listener = createServer(
    { key: server.private, cert: server.cert },
    (_req, res) => {
      res.end("answer");
    },
  );
  await new Promise<void>((resolve) => {
    listener.listen(0, "127.0.0.1", resolve);
  });
  const { port } = listener.address() as AddressInfo;
  const ask = async (authority: string): Promise<string> => {
    await writeFile(authorityFile, authority);
    const connect = await createConnector({
      tls: { authorityFile },
      connectTimeoutMs: 1000,
      log: discardLog,
    });
    const dispatcher = new Agent({ connect });
    try {
      const res = await request(`https://127.0.0.1:${String(port)}/`, {
        dispatcher,
      });
      return await res.body.text();
    } finally {
      await dispatcher.destroy();
    }
  };
  assert.equal(await ask(server.cert), "answer");
  await assert.rejects(ask(untrusted.cert), {
    code: "DEPTH_ZERO_SELF_SIGNED_CERT",
  });
  listener.close();
  listener.closeAllConnections();
  await rm(folder, { recursive: true });
});
