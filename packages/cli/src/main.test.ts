import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const main = fileURLToPath(new URL("main.js", import.meta.url));

test("an unknown command is named on stderr and exits with 2", () => {
  const run = spawnSync(process.execPath, [main, "nosuch"], {
    encoding: "utf8",
  });
  assert.equal(run.status, 2);
  assert.match(run.stderr, /unknown command "nosuch"/);
});

test("check reports the findings of several platform files and exits with 1", () => {
  const folder = mkdtempSync(path.join(tmpdir(), "check-"));
  const settings = path.join(folder, "boot.toml");
  const config = path.join(folder, "config.json");
  writeFileSync(settings, 'node_name = "n"\n');
  writeFileSync(config, '{"version": 1, "routes": [{}], "services": []}');
  const run = spawnSync(process.execPath, [main, "check", settings, config], {
    encoding: "utf8",
  });
  rmSync(folder, { recursive: true });
  assert.equal(run.status, 1);
  assert.match(run.stderr, /boot\.toml:1:1 \/ip is missing or malformed/);
  assert.match(run.stderr, /config\.json:1:27 \/routes\/0 key "hostname"/);
});
