import assert from "node:assert/strict";
import {
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  statSync,
  symlinkSync,
  utimesSync,
  writeFileSync,
} from "node:fs";
import os from "node:os";
import path from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { compileSources } from "./compileSources.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));
const longAgo = new Date(0);
const yearFromNow = new Date(Date.now() + 365 * 86_400_000);

const config = {
  compilerOptions: {
    composite: true,
    rootDir: "src",
    outDir: "dist",
    lib: ["ES5"],
    types: [],
  },
  include: ["src"],
};

/** Writes a repository of one small package and compiles it. */
const createRepository = (t) => {
  const folder = mkdtempSync(path.join(os.tmpdir(), "compiled-"));
  t.after(() => rmSync(folder, { recursive: true }));
  const at = (name) => path.join(folder, name);
  const write = (name, text) => writeFileSync(at(name), text);
  mkdirSync(at("one/src"), { recursive: true });
  symlinkSync(path.join(root, "node_modules"), at("node_modules"));
  write("package-lock.json", "{}");
  write("tsconfig.base.json", "{}");
  write(
    "tsconfig.json",
    JSON.stringify({ files: [], references: [{ path: "one" }] }),
  );
  write("one/tsconfig.json", JSON.stringify(config));
  write("one/src/kept.ts", "export const kept = 1;\n");
  write("one/src/removed.ts", "export const removed = 1;\n");
  compileSources(folder);
  return { folder, at, write };
};

const compiled = ({ at }, name) => readFileSync(at(`one/dist/${name}`), "utf8");

// Load: compiled files of other sources, newer than the sources.
test("compiled files that were carried over are compiled again", (t) => {
  const repository = createRepository(t);
  const output = repository.at("one/dist/kept.js");
  writeFileSync(output, "export const kept = 0;\n");
  for (const file of [output, repository.at("one/tsconfig.tsbuildinfo")])
    utimesSync(file, yearFromNow, yearFromNow);
  compileSources(repository.folder);
  assert.match(compiled(repository, "kept.js"), /kept = 1/);
});

// Load: a source that is replaced by one with an older time.
test("a changed source is compiled whatever its time is", (t) => {
  const repository = createRepository(t);
  repository.write("one/src/kept.ts", "export const kept = 2;\n");
  utimesSync(repository.at("one/src/kept.ts"), longAgo, longAgo);
  compileSources(repository.folder);
  assert.match(compiled(repository, "kept.js"), /kept = 2/);
});

// Load: a source, a test say, that is removed.
test("the compiled file of a removed source is removed", (t) => {
  const repository = createRepository(t);
  rmSync(repository.at("one/src/removed.ts"));
  compileSources(repository.folder);
  assert.ok(!existsSync(repository.at("one/dist/removed.js")));
  assert.match(compiled(repository, "kept.js"), /kept = 1/);
});

// Load: two calls without a change between them.
test("nothing is compiled where nothing changed", (t) => {
  const repository = createRepository(t);
  const output = repository.at("one/dist/kept.js");
  utimesSync(output, longAgo, longAgo);
  compileSources(repository.folder);
  assert.equal(statSync(output).mtimeMs, 0);
});
