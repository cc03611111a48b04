import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import path from "node:path";
import { test } from "node:test";

const runner = new URL("runTestFiles.mjs", import.meta.url).href;
const timeLimitMs = 8000; // a sound file starts within it on a busy machine
const program = `
  import { runTestFiles } from ${JSON.stringify(runner)};
  const tests = runTestFiles(process.argv.slice(2), ${timeLimitMs});
  const results = [];
  tests.on("test:pass", ({ name }) => results.push([name, true]));
  tests.on("test:fail", ({ name }) => results.push([name, false]));
  tests.on("end", () => console.log(JSON.stringify(results)));
  tests.resume();
`;

test("a test file that hangs fails by its name, and the others run", (t) => {
  const folder = mkdtempSync(path.join(tmpdir(), "hung-test-"));
  t.after(() => rmSync(folder, { recursive: true }));
  const hung = path.join(folder, "hung.test.mjs");
  const sound = path.join(folder, "sound.test.mjs");
  writeFileSync(
    hung,
    `import { test } from "node:test";
     test("waits", () => new Promise(() => setInterval(() => undefined, 10)));`,
  );
  writeFileSync(
    sound,
    `import { test } from "node:test";
     test("passes", () => undefined);`,
  );
  const runFile = path.join(folder, "run.mjs");
  writeFileSync(runFile, program);
  const env = { ...process.env };
  delete env.NODE_TEST_CONTEXT; // tells a runner that another one runs it
  const args = [runFile, hung, sound];
  const output = execFileSync(process.execPath, args, { env, timeout: 60_000 });
  assert.deepEqual(JSON.parse(output.toString()).sort(), [
    [hung, false],
    ["passes", true],
  ]);
});
