import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const main = fileURLToPath(new URL("main.js", import.meta.url));

test("an unknown command is named and exits with 2", () => {
  const run = spawnSync(process.execPath, [main, "nosuch"], {
    encoding: "utf8",
  });
  assert.equal(run.status, 2);
  assert.match(run.stderr, /unknown command "nosuch"/);
});
