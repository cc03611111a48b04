// Compiles the repository's packages. tsc compares only times, so a record of the contents says what may be kept.
import { execFileSync } from "node:child_process";
import { createHash } from "node:crypto";
import {
  mkdirSync,
  readFileSync,
  readdirSync,
  rmSync,
  utimesSync,
  writeFileSync,
} from "node:fs";
import path from "node:path";

const recordFile = "dist/compiled.json";
const sharedSources = ["tsconfig.base.json", "package-lock.json"];

const digestOf = (content) =>
  createHash("sha256").update(content).digest("hex");

const readProjects = (root) => {
  const config = readFileSync(path.join(root, "tsconfig.json"), "utf8");
  return JSON.parse(config).references.map((reference) => reference.path);
};

/** Returns the files of the project, by path from the root. */
const filesOf = (root, project) =>
  readdirSync(path.join(root, project), {
    recursive: true,
    withFileTypes: true,
  })
    .filter((entry) => entry.isFile())
    .map((entry) =>
      path.relative(
        root,
        path.join(entry.parentPath ?? entry.path, entry.name),
      ),
    )
    .filter((file) => !/(^|\/)(node_modules|results)\//.test(file));

const isOutput = (file) =>
  file.includes("/dist/") || file.endsWith(".tsbuildinfo");

const digestFiles = (root, files) =>
  Object.fromEntries(
    files
      .sort()
      .map((file) => [file, digestOf(readFileSync(path.join(root, file)))]),
  );

const describe = (root, projects) => {
  const files = projects.flatMap((project) => filesOf(root, project));
  const outputs = files.filter(isOutput);
  const sources = files.filter((file) => !isOutput(file)).concat(sharedSources);
  return {
    outputs: digestOf(JSON.stringify(digestFiles(root, outputs))),
    sources: digestFiles(root, sources),
  };
};

const readRecord = (root) => {
  try {
    return JSON.parse(readFileSync(path.join(root, recordFile), "utf8"));
  } catch {
    return undefined; // compiles everything
  }
};

/** Returns the sources that differ from the record, or undefined if it does not tell what is compiled. */
const changedSources = (record, { outputs, sources }) => {
  if (record?.outputs !== outputs) return undefined;
  if (sharedSources.some((file) => record.sources[file] !== sources[file]))
    return undefined;
  const isRemoved = (file) => !(file in sources);
  if (Object.keys(record.sources).some(isRemoved)) return undefined;
  return Object.keys(sources).filter(
    (file) => sources[file] !== record.sources[file],
  );
};

const removeOutputs = (root, project) => {
  for (const name of ["dist", "tsconfig.tsbuildinfo"])
    rmSync(path.join(root, project, name), { recursive: true, force: true });
};

/** Compiles what the record does not show to be compiled from the present sources. */
export const compileSources = (root) => {
  const projects = readProjects(root);
  const changed = changedSources(readRecord(root), describe(root, projects));
  if (changed?.length === 0) return;
  const time = new Date();
  if (changed)
    for (const file of changed) utimesSync(path.join(root, file), time, time);
  else for (const project of projects) removeOutputs(root, project);
  execFileSync(path.join(root, "node_modules/.bin/tsc"), ["-b"], {
    cwd: root,
    stdio: ["ignore", 2, 2],
  });
  mkdirSync(path.join(root, "dist"), { recursive: true });
  const record = JSON.stringify(describe(root, projects));
  writeFileSync(path.join(root, recordFile), record);
};
