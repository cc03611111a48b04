import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import fc from "fast-check";
import { isConfigText } from "@cardamomglade/users-platform/check";
import { checkConfigFile, checkTomlFile } from "./checkPlatformFile.js";

const linesOf = (
  findings: readonly { line: number; pointer: string; message: string }[],
): string[] =>
  findings.map(
    ({ line, pointer, message }) => `${String(line)} ${pointer} ${message}`,
  );

test("the project's own deploy file has no findings", () => {
  const file = fileURLToPath(
    new URL("../../../../deploy/system.toml", import.meta.url),
  );
  assert.deepEqual(checkTomlFile(file, readFileSync(file, "utf8")), []);
});

test("every fault in a deploy file is reported with its line", () => {
  const text = `[roles.a]
on = "edge"
share = 2
serves = ["edge", "moon"]
metrics = "here"
[roles.b]
run = "node b"
on = "edge"
[roles.c]
run = "node c"
on = "edge"
count = 1
`;
  assert.deepEqual(linesOf(checkTomlFile("system.toml", text)), [
    '1  key "build" is missing',
    '1 /roles/a key "run" is missing',
    "5 /roles/a/metrics expected PORT/PATH",
    "3 /roles/a/share expected a share above 0 and at most 1",
    '4 /roles/a/serves "moon" is not one of edge, control_plane',
    '6 /roles/b needs "share" or "count"',
    '11 /roles/c/on more than 2 roles on "edge"',
  ]);
});

test("every fault in a settings file is reported with its line", () => {
  const text = `node_name = "n"
ip = "10.0.0.1"
zone = "a"
[listen]
front = "10.0.0.1:80"
readiness = "here"
[platform]
address = "10.0.0.2:81"
[bounds]
grace_period_s = "long"
`;
  assert.deepEqual(linesOf(checkTomlFile("boot.toml", text)), [
    "10 /bounds/grace_period_s is missing or malformed",
    "6 /listen/readiness is missing or malformed",
  ]);
});

test("a TOML syntax error is reported with its line", () => {
  const [finding] = checkTomlFile("boot.toml", "ip = \n");
  assert.equal(finding?.line, 1);
});

test("every fault in a configuration is reported with its line", () => {
  const text = `{
 "version": 3,
 "services": [{ "name": "s" }],
 "tenants": [{ "name": "a", "api_keys": ["k"] }, { "name": "b", "api_keys": ["k"] }],
 "routes": [
  { "hostname": "h", "prefix": "/a/", "kind": "thinking", "timeout_ms": 9, "service": "s" },
  { "hostname": "h", "prefix": "/b/", "kind": "idempotent", "timeout_ms": 9, "service": "t" },
  { "hostname": "h" }
 ]
}`;
  assert.ok(isConfigText(text));
  assert.deepEqual(linesOf(checkConfigFile("config.json", text)), [
    '6 /routes/0/kind kind "thinking" is not one of streaming, idempotent, non_idempotent',
    '8 /routes/2 key "prefix" is missing',
    '8 /routes/2 key "kind" is missing',
    '8 /routes/2 key "timeout_ms" is missing',
    '8 /routes/2 needs "service" or "traffic_split"',
    '7 /routes/1 service "t" does not exist',
    '4 /tenants/1 a key of "a" is also one of "b"',
  ]);
});

test("checking any text throws no exception", () => {
  fc.assert(
    fc.property(fc.string(), fc.json(), (text, json) => {
      checkTomlFile("f.toml", text);
      checkConfigFile("f.json", text);
      checkConfigFile("f.json", json);
    }),
  );
});
