// Installs the packages if they are missing or old, and builds. Safe to run at any time.
import { execFileSync } from "node:child_process";
import { statSync } from "node:fs";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));

const modifiedAt = (file) => {
  try {
    return statSync(`${root}${file}`).mtimeMs;
  } catch {
    return 0;
  }
};

const run = (command, ...args) =>
  execFileSync(command, args, { cwd: root, stdio: ["ignore", 2, 2] });

const installedAt = modifiedAt("node_modules/.package-lock.json");
if (installedAt < modifiedAt("package-lock.json")) run("npm", "ci");
run(`${root}node_modules/.bin/tsc`, "-b");
