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

test("check compares a configuration with the one in force, as JSON, and exits with 3 if callers get less", () => {
  const folder = mkdtempSync(path.join(tmpdir(), "check-"));
  const before = path.join(folder, "before.json");
  const after = path.join(folder, "after.json");
  const route = (prefix: string) => ({
    hostname: "h.example",
    prefix,
    kind: "idempotent",
    timeout_ms: 1000,
    service: "s",
  });
  const write = (file: string, version: number, prefixes: string[]) => {
    const routes = prefixes.map(route);
    const services = [{ name: "s" }];
    writeFileSync(file, JSON.stringify({ version, routes, services }));
  };
  write(before, 1, ["/a/", "/b/"]);
  write(after, 2, ["/a/"]);
  const words = [main, "check", after, "--against", before, "--format", "json"];
  const run = spawnSync(process.execPath, words, { encoding: "utf8" });
  rmSync(folder, { recursive: true });
  assert.equal(run.status, 3);
  const { changes } = JSON.parse(run.stdout) as { changes: unknown[] };
  assert.equal(changes.length, 1);
});

for (const words of [
  ["--format", "xml", "f"],
  [],
  ["f", "--against"],
  ["f", "--against", "a", "--against", "b"],
])
  test(`check ${words.join(" ")} says what is wrong and exits with 2`, () => {
    const run = spawnSync(process.execPath, [main, "check", ...words], {
      encoding: "utf8",
    });
    assert.equal(run.status, 2);
    assert.notEqual(run.stderr, "");
  });
