// Runs the tests; arguments narrow them to the files whose path holds one of them.
import { readdirSync } from "node:fs";
import { spawnSync } from "node:child_process";
import path from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("..", import.meta.url));
const folders = ["packages", "stand-ins", "bench"];

const testsBelow = (folder) =>
  readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith(".test.js"))
    .map((entry) => path.join(entry.parentPath ?? entry.path, entry.name))
    .filter(
      (file) => file.includes("/dist/") && !file.includes("node_modules"),
    );

const wanted = process.argv.slice(2);
const files = folders
  .flatMap((folder) => testsBelow(path.join(root, folder)))
  .filter(
    (file) => wanted.length === 0 || wanted.some((part) => file.includes(part)),
  )
  .sort();

const result = spawnSync(process.execPath, ["--test", ...files], {
  cwd: root,
  stdio: "inherit",
});
process.exitCode = result.status ?? 1;
