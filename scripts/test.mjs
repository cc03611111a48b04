// Runs the tests. With arguments, only test files whose path contains one of the arguments.
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { spec } from "node:test/reporters";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { classifyResults, parseKnownRed } from "./knownRed.mjs";
import { runTestFiles } from "./runTestFiles.mjs";

const root = fileURLToPath(new URL("..", import.meta.url));
const folders = ["packages", "platform", "stand-ins", "bench"];
const knownRedPath = path.join(root, "KNOWN-RED.txt");

const testFilesIn = (folder) =>
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

const pathParts = process.argv.slice(2);
const files = folders
  .flatMap((folder) => testFilesIn(path.join(root, folder)))
  .concat(scriptTests())
  .filter(
    (file) =>
      pathParts.length === 0 || pathParts.some((part) => file.includes(part)),
  )
  .sort();

const entries = existsSync(knownRedPath)
  ? parseKnownRed(readFileSync(knownRedPath, "utf8"))
  : [];
const results = [];
const recordResult = (passed) => (data) => {
  const test = `${sourceOf(data.file ?? "")} > ${data.name}`;
  results.push({ test, passed });
};

const report = () => {
  const { unexpected, knownFailures, nowPassing } = classifyResults(
    entries,
    results,
  );
  for (const { test, seen, issue } of knownFailures)
    console.log(`known to fail (issue ${issue}): ${test}: ${seen}`);
  for (const { test } of nowPassing)
    console.log(`named in KNOWN-RED.txt, but passed: ${test}`);
  for (const { test } of unexpected) console.log(`failed: ${test}`);
  const isEmpty = results.length === 0;
  if (isEmpty) console.log("no test ran");
  process.exitCode = unexpected.length > 0 || isEmpty ? 1 : 0;
};

// Tests of whole processes measure memory and times, so they run apart from the others, few at once.
const processTestConcurrency = 3;
const isProcessTest = (file) =>
  ["platform", "bench"].includes(path.relative(root, file).split(path.sep)[0]);

const runFiles = (group, concurrency) =>
  new Promise((resolve) => {
    if (group.length === 0) {
      resolve();
      return;
    }
    const tests = runTestFiles(group, undefined, concurrency);
    tests.on("test:pass", recordResult(true));
    tests.on("test:fail", recordResult(false));
    const formatted = tests.compose(new spec());
    formatted.on("end", resolve);
    formatted.pipe(process.stdout, { end: false });
  });

await runFiles(
  files.filter((file) => !isProcessTest(file)),
  true,
);
await runFiles(files.filter(isProcessTest), processTestConcurrency);
report();
