// Installs the packages if need be and bundles the relay into target/ as one minified script, with V8's code cache of a start beside it.
import { execFileSync } from "node:child_process";
import {
  mkdirSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { bundleSources } from "./bundleSources.mjs";
import { sealProgram } from "./codeCache.mjs";
import { installPackages } from "./installPackages.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));
const target = path.join(root, "target");
const maxCacheWriteMs = 60_000;

installPackages(root);
const { build } = await import("esbuild");

const options = {
  absWorkingDir: root,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  minify: true,
  sourcemap: false,
};

const bundleRelay = async (outfile) => {
  await build({
    ...options,
    entryPoints: ["platform/src/main.ts"],
    outfile,
    plugins: [bundleSources(root)],
    // Without the native addon, whose search for binaries slows the start.
    alias: { msgpackr: "msgpackr/pack" },
  });
  writeFileSync(outfile, sealProgram(readFileSync(outfile)));
};

const bundleStart = (outfile) =>
  build({ ...options, entryPoints: ["deploy/start.mjs"], outfile });

/** Writes relay.cache beside relay.cjs; the relay starts without it too. */
const writeCodeCache = (folder) => {
  // V8 accepts a cache only from a process with the same flags as in deploy/system.toml.
  const args = [
    "--max-old-space-size=200",
    "deploy/writeCodeCache.mjs",
    folder,
  ];
  try {
    execFileSync(process.execPath, args, {
      cwd: root,
      stdio: "inherit",
      timeout: maxCacheWriteMs,
      killSignal: "SIGKILL",
    });
  } catch (err) {
    console.error(`built without a code cache: ${err.message}`);
  }
};

/**
 * Replaces the program a whole file at a time: a start meets an old or a new one, never a part.
 * The starter comes last: it refuses a program without a digest, as earlier builds left it.
 */
const putInPlace = (folder) => {
  for (const name of readdirSync(folder).sort().reverse())
    renameSync(path.join(folder, name), path.join(target, name));
};

mkdirSync(target, { recursive: true });
const staging = mkdtempSync(path.join(target, "build-"));
try {
  await bundleRelay(path.join(staging, "relay.cjs"));
  await bundleStart(path.join(staging, "cardamomglade.cjs"));
  writeCodeCache(staging);
  putInPlace(staging);
} finally {
  rmSync(staging, { recursive: true, force: true });
}
