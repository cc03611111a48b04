// Installs the packages if they are missing or older than package-lock.json, and builds, the bundle of the deploy file too. Can be run at any time.
import { execFileSync } from "node:child_process";
import { statSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));

const modifiedAtMs = (file) => {
  try {
    return statSync(`${root}${file}`).mtimeMs;
  } catch {
    return 0;
  }
};

const run = (command, ...args) =>
  execFileSync(command, args, { cwd: root, stdio: ["ignore", 2, 2] });

const installedAtMs = modifiedAtMs("node_modules/.package-lock.json");
if (installedAtMs < modifiedAtMs("package-lock.json")) run("npm", "ci");
run(`${root}node_modules/.bin/tsc`, "-b");
run(process.execPath, "deploy/build.mjs");
