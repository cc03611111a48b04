import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const moduleUrl = new URL("index.js", import.meta.url).href;

const script = `
  const { createLog, Severity } = await import(${JSON.stringify(moduleUrl)});
  const log = createLog({}, Severity.Info);
  for (let line = 0; line < 5000; line += 1) log(Severity.Info, "routine");
  log(Severity.Warn, "important");
`;

// Load: hundreds of requests a second, each with several lines, beside one that ends without an answer.
test("a warning is left out of the log beside many routine lines", () => {
  const { stdout } = spawnSync(
    process.execPath,
    ["--input-type=module", "--eval", script],
    { cwd: fileURLToPath(new URL(".", import.meta.url)), encoding: "utf8" },
  );
  const messages = stdout
    .split("\n")
    .filter((line) => line !== "")
    .map((line) => (JSON.parse(line) as { message: string }).message);
  assert.equal(messages.at(-1), "important");
  assert.ok(messages.length < 2000);
});
