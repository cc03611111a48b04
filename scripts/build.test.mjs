import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import { existsSync, rmSync } from "node:fs";
import { createServer } from "node:net";
import path from "node:path";
import { test } from "node:test";
import { promisify } from "node:util";
import { copyRepository } from "./copyRepository.mjs";

const metricsPort = 9464;

const build = (folder) =>
  promisify(execFile)(process.execPath, ["deploy/build.mjs"], { cwd: folder });

const copyUntilEnd = (t) => {
  const folder = copyRepository();
  t.after(() => rmSync(folder, { recursive: true }));
  return folder;
};

/** Holds the port; another process may hold it already, which does as well. */
const holdPort = (t, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once("listening", () => {
      t.after(() => server.close());
      resolve();
    });
    server.once("error", () => resolve());
    server.listen(port, "127.0.0.1");
  });

// Load: another process at the relay's metrics port, two builds at one moment.
test("copies are built beside each other and beside a process at the metrics port", async (t) => {
  await holdPort(t, metricsPort);
  const folders = [copyUntilEnd(t), copyUntilEnd(t)];
  await Promise.all(folders.map(build));
  for (const folder of folders)
    assert.ok(existsSync(path.join(folder, "target/relay.cache")));
});
