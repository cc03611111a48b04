import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { test } from "node:test";
import { freePort } from "./freePort.js";

const program = `
  import { freePort } from ${JSON.stringify(new URL("freePort.js", import.meta.url).href)};
  const [from, count] = process.argv.slice(1).map(Number);
  const { default: crypto } = await import("node:crypto");
  const { syncBuiltinESMExports } = await import("node:module");
  let next = from;
  crypto.randomInt = () => next++;
  syncBuiltinESMExports();
  console.log(await freePort(count));
`;

/** The port that another process gets if it tries all from a port on in turn. */
const portOfOtherProcess = (from: number, count: number): number =>
  Number(
    execFileSync(
      process.execPath,
      ["--input-type=module", "-e", program, String(from), String(count)],
      { timeout: 20_000 },
    ),
  );

test("two processes get the same port, or one the port that comes after another's", async () => {
  const first = await freePort(2);
  assert.ok(portOfOtherProcess(first, 1) > first + 1);
  assert.ok(portOfOtherProcess(first - 1, 2) > first + 1);
});

test("a process gets a port twice", async () => {
  const ports = [];
  for (let count = 0; count < 300; count += 1) ports.push(await freePort());
  assert.equal(new Set(ports).size, ports.length);
});
