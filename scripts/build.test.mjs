import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import {
  existsSync,
  readFileSync,
  readdirSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import path from "node:path";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { promisify } from "node:util";
import { digestOfProgram } from "../deploy/codeCache.mjs";
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

const programFiles = ["cardamomglade.cjs", "relay.cache", "relay.cjs"];

const readTarget = (folder) =>
  programFiles.map((name) => readFileSync(path.join(folder, "target", name)));

const breakSource = (folder) =>
  writeFileSync(path.join(folder, "platform/src/runRelay.ts"), "const = ;");

// Load: a build that fails, and one whose files are read all the time.
test("the program that was built before stays whole while the next one is built", async (t) => {
  const folder = copyUntilEnd(t);
  await build(folder);
  const built = readTarget(folder);
  let isBuilding = true;
  const building = build(folder).finally(() => {
    isBuilding = false;
  });
  while (isBuilding) {
    const [, , program] = readTarget(folder);
    assert.ok(digestOfProgram(program));
    await sleep(1);
  }
  await building;
  breakSource(folder);
  await assert.rejects(build(folder));
  const [start, , program] = readTarget(folder);
  assert.deepEqual([start, program], [built[0], built[2]]);
  assert.deepEqual(
    readdirSync(path.join(folder, "target")).sort(),
    programFiles,
  );
});

// Load: two builds of one folder at one moment.
test("two builds of one folder leave a whole program", async (t) => {
  const folder = copyUntilEnd(t);
  await Promise.all([build(folder), build(folder)]);
  const [, , program] = readTarget(folder);
  assert.ok(digestOfProgram(program));
  assert.deepEqual(
    readdirSync(path.join(folder, "target")).sort(),
    programFiles,
  );
});
