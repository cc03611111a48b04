// Bundles the relay into target/ as one minified script, with V8's code cache of a start beside it.
import { execFileSync } from "node:child_process";
import { readFileSync, rmSync, writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";
import { sealProgram } from "./codeCache.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));

rmSync(`${root}target`, { recursive: true, force: true });
const options = {
  bundle: true,
  platform: "node",
  target: "node20",
  minify: true,
  sourcemap: false,
};
await build({
  ...options,
  entryPoints: ["platform/src/main.ts"],
  outfile: "target/relay.cjs",
  format: "cjs",
  // Without the native addon, whose search for binaries slows the start.
  alias: { msgpackr: "msgpackr/pack" },
});
const relayFile = `${root}target/relay.cjs`;
writeFileSync(relayFile, sealProgram(readFileSync(relayFile)));
await build({
  ...options,
  entryPoints: ["deploy/start.mjs"],
  outfile: "target/cardamomglade.cjs",
  format: "cjs",
});
// V8 accepts a cache only from a process with the same flags as in deploy/system.toml.
execFileSync(
  process.execPath,
  ["--max-old-space-size=200", "deploy/writeCodeCache.mjs"],
  { cwd: root, stdio: "inherit" },
);
