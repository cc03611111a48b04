import assert from "node:assert/strict";
import { execFile } from "node:child_process";
import {
  chmodSync,
  cpSync,
  existsSync,
  mkdirSync,
  readFileSync,
  readdirSync,
  realpathSync,
  renameSync,
  rmSync,
  utimesSync,
  writeFileSync,
} from "node:fs";
import path from "node:path";
import { test } from "node:test";
import { promisify } from "node:util";
import { digestOfProgram } from "../deploy/codeCache.mjs";
import { copyRepository, linkPackages } from "./copyRepository.mjs";

const yearFromNow = new Date(Date.now() + 365 * 86_400_000);

const installWhole = "sleep 0.5; mv whole-packages node_modules";
const failToInstall = "mkdir -p node_modules/half; exit 1";

/** Writes an `npm` that records its arguments, removes the packages and puts whole ones in place. */
const writeNpm = (folder, install = installWhole) => {
  const bin = path.join(folder, "bin");
  const npm = path.join(bin, "npm");
  linkPackages(path.join(folder, "whole-packages"));
  mkdirSync(bin);
  writeFileSync(
    npm,
    `#!/bin/sh
echo "$@" >> npm-calls
rm -rf node_modules
${install}
`,
  );
  chmodSync(npm, 0o755);
  return bin;
};

/** Runs the build of the deploy file with an `npm` and returns the arguments of each call of it. */
const build = async (folder, bin = writeNpm(folder)) => {
  const [, command] = /^build = "(.*)"$/m.exec(
    readFileSync(path.join(folder, "deploy/system.toml"), "utf8"),
  );
  await promisify(execFile)("sh", ["-c", command], {
    cwd: folder,
    env: { ...process.env, PATH: `${bin}:${process.env.PATH}` },
  });
  const calls = path.join(folder, "npm-calls");
  return existsSync(calls)
    ? readFileSync(calls, "utf8").trim().split("\n")
    : [];
};

const copyUntilEnd = (t) => {
  const folder = copyRepository();
  utimesSync(path.join(folder, "package-lock.json"), 0, 0);
  t.after(() => rmSync(folder, { recursive: true }));
  return folder;
};

const readProgram = (folder) =>
  readFileSync(path.join(folder, "target/relay.cjs"));

const packageChanges = {
  "of another kind of machine": (packages) => {
    const [native] = readdirSync(path.join(packages, "@esbuild"));
    renameSync(
      path.join(packages, "@esbuild", native),
      path.join(packages, "@esbuild", "other-machine"),
    );
  },
  "without one package": (packages) => {
    rmSync(path.join(packages, "msgpackr"), { recursive: true });
  },
  "that were not installed to the end": (packages) => {
    rmSync(path.join(packages, ".package-lock.json"));
  },
  "with a copy in place of a link to a package of the repository": (
    packages,
  ) => {
    const link = path.join(packages, "@cardamomglade/relay");
    const from = realpathSync(link);
    rmSync(link);
    cpSync(from, link, { recursive: true });
  },
};

// Load: node_modules as folders that were carried over may have it, newer than the lock file.
for (const [kind, change] of Object.entries(packageChanges))
  test(`packages ${kind} are installed again by a build`, async (t) => {
    const folder = copyUntilEnd(t);
    change(path.join(folder, "node_modules"));
    assert.deepEqual(await build(folder), [
      "ci --include=dev --include=optional",
    ]);
    assert.ok(digestOfProgram(readProgram(folder)));
  });

const staleText = "text of an earlier build";

const makeStale = (folder) => {
  const file = path.join(folder, "packages/observe/dist/log.js");
  const compiled = readFileSync(file, "utf8");
  writeFileSync(file, compiled.replace("log lines left out", staleText));
  const changed = readdirSync(path.join(folder, "packages/observe"), {
    recursive: true,
  });
  for (const name of changed)
    if (!name.startsWith("src"))
      utimesSync(
        path.join(folder, "packages/observe", name),
        yearFromNow,
        yearFromNow,
      );
};

// Load: compiled files of other sources, newer than the sources, and another target/.
test("a build takes nothing from compiled files and programs that were carried over", async (t) => {
  const folder = copyUntilEnd(t);
  makeStale(folder);
  mkdirSync(path.join(folder, "target"));
  for (const name of ["relay.cjs", "relay.cache", "cardamomglade.cjs"])
    writeFileSync(path.join(folder, "target", name), staleText);
  assert.deepEqual(await build(folder), []);
  const program = readProgram(folder);
  assert.ok(digestOfProgram(program));
  assert.ok(program.includes("log lines left out"));
  assert.ok(!program.includes(staleText));
});

// Load: a build where nothing was compiled.
test("a clean checkout with its packages is built", async (t) => {
  const folder = copyUntilEnd(t);
  for (const name of readdirSync(path.join(folder, "packages")))
    rmSync(path.join(folder, "packages", name, "dist"), {
      recursive: true,
      force: true,
    });
  assert.deepEqual(await build(folder), []);
  assert.ok(digestOfProgram(readProgram(folder)));
});

const remove = (folder, name) => {
  rmSync(path.join(folder, "node_modules", name), { recursive: true });
};

// Load: a registry that cannot be reached, and packages of which one is missing.
test("an installation that fails leaves a folder without packages", async (t) => {
  const folder = copyUntilEnd(t);
  remove(folder, "msgpackr");
  const packages = path.join(folder, "node_modules");
  const before = readdirSync(packages);
  await assert.rejects(build(folder, writeNpm(folder, failToInstall)));
  assert.deepEqual(readdirSync(packages), before);
  assert.deepEqual(readdirSync(path.join(folder, "target")), []);
});

// Load: a registry that cannot be reached, and a missing package that only tests use.
test("a build fails for want of a package that the bundle does not need", async (t) => {
  const folder = copyUntilEnd(t);
  remove(folder, "fast-check");
  const bin = writeNpm(folder, failToInstall);
  assert.equal((await build(folder, bin)).length, 1);
  assert.ok(digestOfProgram(readProgram(folder)));
});

// Load: two builds at one moment in a folder without one package.
test("two builds in one folder install at once", async (t) => {
  const folder = copyUntilEnd(t);
  remove(folder, "msgpackr");
  const bin = writeNpm(folder);
  await Promise.all([build(folder, bin), build(folder, bin)]);
  assert.equal((await build(folder, bin)).length, 1);
  assert.ok(digestOfProgram(readProgram(folder)));
});
