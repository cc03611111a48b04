import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { request } from "node:https";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import path from "node:path";
import { after, test } from "node:test";
import { TLSSocket } from "node:tls";
import { generate } from "selfsigned";
import { OpenBodies } from "../connections/openBodies.js";
import { testSettings } from "../testing/callersListener.js";
import { createHttpServer } from "./createHttpServer.js";
import { TlsFiles } from "./tlsFiles.js";

const folder = await mkdtemp(path.join(tmpdir(), "cardamomglade-tls-"));
after(() => rm(folder, { recursive: true }));

const settings = {
  keyFile: path.join(folder, "key.pem"),
  certificateFile: path.join(folder, "certificate.pem"),
  requireClientCertificate: false,
};
const discardLog = () => undefined;

const writeCertificate = async (name: string): Promise<string> => {
  const made = await generate([{ name: "commonName", value: name }]);
  await writeFile(settings.keyFile, made.private);
  await writeFile(settings.certificateFile, made.cert);
  return made.cert;
};

const commonNameAt = (port: number): Promise<string> =>
  new Promise((resolve, reject) => {
    const options = { host: "127.0.0.1", port, rejectUnauthorized: false };
    const req = request({ ...options, agent: false }, (res) => {
      res.resume();
      assert.ok(res.socket instanceof TLSSocket);
      resolve(String(res.socket.getPeerCertificate().subject.CN));
    });
    req.on("error", reject);
    req.end();
  });

test("replaced TLS files are reloaded and passed to the listeners", async () => {
  await writeCertificate("first");
  const files = await TlsFiles.create(settings, discardLog);
  const names: string[] = [];
  files.onChange(({ cert }) => names.push(cert ?? ""));
  const second = await writeCertificate("second");
  await files.reload();
  assert.deepEqual(names, [second]);
  files.close();
});

test("a key that does not match its certificate is rejected and the previous pair stays in use", async () => {
  const cert = await writeCertificate("whole");
  const files = await TlsFiles.create(settings, discardLog);
  const other = await generate([{ name: "commonName", value: "other" }]);
  await writeFile(settings.keyFile, other.private);
  await files.reload();
  assert.equal(files.current().cert, cert);
  files.close();
});

test("a server with TLS settings serves its certificate over TLS", async () => {
  await writeCertificate("listener");
  const listen = { address: "127.0.0.1", port: 0, tls: settings };
  const options = {
    listen,
    limits: testSettings().limits,
    bodies: OpenBodies.create(Infinity),
    log: discardLog,
  };
  const server = await createHttpServer(options);
  server.on("request", (_req, res: { end: () => void }) => {
    res.end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  assert.equal(await commonNameAt(port), "listener");
  server.close();
});
