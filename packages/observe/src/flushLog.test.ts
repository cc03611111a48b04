import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";

const lineCount = 1000; // more than a pipe holds, less than the log buffers
const lineLength = 150;
const flushMs = 1500;

const program = `
  import { createLog, flushLog, Severity } from ${JSON.stringify(new URL("index.js", import.meta.url).href)};
  const log = createLog({}, Severity.Info);
  for (let line = 0; line < ${String(lineCount)}; line += 1)
    log(Severity.Info, "x".repeat(${String(lineLength)}));
  log(Severity.Info, "stopped");
  const startedAt = performance.now();
  await flushLog(performance.timeOrigin + startedAt + ${String(flushMs)});
  process.stderr.write(String(performance.now() - startedAt));
  process.exit(0);
`;

// Load: a reader that is slower than the lines before an exit.
test("no line is lost when the process exits before its reader has read", async () => {
  const lateReader = '"$0" --input-type=module -e "$1" | (sleep 0.6; cat)';
  const child = spawn("sh", ["-c", lateReader, process.execPath, program]);
  let text = "";
  child.stdout.on("data", (chunk: Buffer) => (text += chunk.toString()));
  await once(child, "close");
  const lines = text.trimEnd().split("\n");
  assert.equal(lines.length, lineCount + 1);
  assert.match(lines.at(-1) ?? "", /"stopped"/);
});

// Load: a reader that reads nothing.
test("a reader that reads nothing holds an exit up for a bounded time", async () => {
  const noReader = '"$0" --input-type=module -e "$1" | sleep 600';
  const child = spawn("sh", ["-c", noReader, process.execPath, program], {
    detached: true, // its group is ended below
  });
  const [text] = (await once(child.stderr, "data")) as [Buffer];
  process.kill(-(child.pid ?? 0), "SIGKILL");
  const heldMs = Number(text);
  assert.ok(
    heldMs >= flushMs - 1 && heldMs < 2 * flushMs,
    `${String(text)} ms`,
  );
});
