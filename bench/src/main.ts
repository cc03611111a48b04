/** Command-line interface of the benchmarks: runs one experiment, or all of them. */

import { writeFile } from "node:fs/promises";
import { cac } from "cac";
import { experiments } from "./experiments/index.js";
import { compareRows, formatComparedRow } from "./report/compareRows.js";
import { formatRow } from "./report/formatRow.js";
import { isWithinBound } from "./report/isWithinBound.js";
import { renderReport } from "./report/renderReport.js";
import { readResult, saveResult } from "./report/saveResult.js";
import type { Experiment, Row } from "./types.js";

interface Flags {
  readonly seed: number;
  readonly compare?: string;
  readonly report?: string;
}

const selectExperiments = (name: string): readonly Experiment[] => {
  const selected = experiments.filter(
    (experiment) => name === "all" || experiment.name === name,
  );
  if (selected.length > 0) return selected;
  const knownNames = experiments
    .map((experiment) => experiment.name)
    .join(", ");
  throw new Error(
    `unknown experiment "${name}"; expected one of: ${knownNames}, all`,
  );
};

const runExperiments = async (name: string, flags: Flags): Promise<void> => {
  const { seed } = flags;
  const selected = selectExperiments(name);
  const earlier =
    flags.compare === undefined ? undefined : await readResult(flags.compare);
  const rows: Row[] = [];
  for (const experiment of selected) {
    const measured = await experiment.run({ seed });
    for (const row of measured) console.log(formatRow(row));
    rows.push(...measured);
  }
  const result = { name, seed, at: new Date().toISOString(), rows };
  console.log(`saved ${await saveResult(result)}`);
  if (earlier !== undefined)
    for (const row of compareRows(rows, earlier.rows))
      console.log(formatComparedRow(row));
  if (flags.report !== undefined)
    await writeFile(flags.report, renderReport(result, earlier));
  process.exit(rows.every(isWithinBound) ? 0 : 1);
};

const cli = cac("bench");
cli
  .command("<name>", "Run an experiment, or all of them")
  .option("--seed <seed>", "Seed of the random number generator", {
    default: 1,
  })
  .option("--compare <file>", "Compare with a result saved by an earlier run")
  .option("--report <file>", "Write an HTML report with plots")
  .action((name: string, flags: Flags) => runExperiments(name, flags));
cli.help();
cli.parse();
