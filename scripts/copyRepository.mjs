// Copies the repository for tests of the build, with links to the installed packages.
import {
  cpSync,
  mkdirSync,
  mkdtempSync,
  readdirSync,
  symlinkSync,
} from "node:fs";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const leftOut = new Set([
  "node_modules",
  ".git",
  "target",
  "results",
  "journal",
  "docs",
]);
// A link would lead back to the packages beside the original.
const copiedPackages = new Set([
  ".bin",
  "@cardamomglade",
  "@esbuild",
  "cardamomglade",
  "esbuild",
]);

const addPackages = (copy) => {
  const from = path.join(root, "node_modules");
  const to = path.join(copy, "node_modules");
  mkdirSync(to);
  for (const name of readdirSync(from)) {
    const source = path.join(from, name);
    const target = path.join(to, name);
    if (copiedPackages.has(name))
      cpSync(source, target, { recursive: true, verbatimSymlinks: true });
    else symlinkSync(source, target);
  }
};

/** Copies the repository, without target/, into a new folder and returns its path. */
export const copyRepository = () => {
  const copy = mkdtempSync(path.join(os.tmpdir(), "repository-"));
  cpSync(root, copy, {
    recursive: true,
    preserveTimestamps: true,
    filter: (source) => !leftOut.has(path.basename(source)),
  });
  addPackages(copy);
  return copy;
};
