// Runs the tests; arguments narrow them to the files whose path holds one of them.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { run } from "node:test";
import { spec } from "node:test/reporters";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { judgeResults, parseKnownRed } from "./knownRed.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));
const folders = ["packages", "platform", "stand-ins", "bench"];
const knownRedFile = path.join(root, "KNOWN-RED.txt");

const testsBelow = (folder) =>
  readdirSync(folder, { withFileTypes: true, recursive: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith(".test.js"))
    .map((entry) => path.join(entry.parentPath ?? entry.path, entry.name))
    .filter(
      (file) => file.includes("/dist/") && !file.includes("node_modules"),
    );

const scriptTests = () =>
  readdirSync(path.join(root, "scripts"))
    .filter((name) => name.endsWith(".test.mjs"))
    .map((name) => path.join(root, "scripts", name));

const sourceOf = (file) =>
  path.relative(root, file).replace("/dist/", "/src/").replace(/\.js$/, ".ts");

const wanted = process.argv.slice(2);
const files = folders
  .flatMap((folder) => testsBelow(path.join(root, folder)))
  .concat(scriptTests())
  .filter(
    (file) => wanted.length === 0 || wanted.some((part) => file.includes(part)),
  )
  .sort();

const entries = existsSync(knownRedFile)
  ? parseKnownRed(readFileSync(knownRedFile, "utf8"))
  : [];
const results = [];
const note = (passed) => (data) => {
  const test = `${sourceOf(data.file ?? "")} > ${data.name}`;
  results.push({ test, passed });
};

const report = () => {
  const { unexpected, passedOver, healed } = judgeResults(entries, results);
  for (const { test, seen, issue } of passedOver)
    console.log(`known to fail (issue ${issue}): ${test}: ${seen}`);
  for (const { test } of healed)
    console.log(`named in KNOWN-RED.txt, but passed: ${test}`);
  for (const { test } of unexpected) console.log(`failed: ${test}`);
  const isEmpty = results.length === 0;
  if (isEmpty) console.log("no test ran");
  process.exitCode = unexpected.length > 0 || isEmpty ? 1 : 0;
};

const tests = run({ files, concurrency: true });
tests.on("test:pass", note(true));
tests.on("test:fail", note(false));
const printed = tests.compose(new spec());
printed.on("end", report);
printed.pipe(process.stdout);
