/** Command line of the benches: one experiment each. */

import { writeFile } from "node:fs/promises";
import { cac } from "cac";
import { experiments } from "./experiments/index.js";
import { compareRows, formatCompared } from "./report/compareRows.js";
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

const chooseExperiments = (name: string): readonly Experiment[] => {
  const chosen = experiments.filter(
    (one) => name === "all" || one.name === name,
  );
  if (chosen.length > 0) return chosen;
  const known = experiments.map((one) => one.name).join(", ");
  throw new Error(`no experiment "${name}"; known are ${known}, all`);
};

const runNamed = async (name: string, flags: Flags): Promise<void> => {
  const { seed } = flags;
  const chosen = chooseExperiments(name);
  const earlier =
    flags.compare === undefined ? undefined : await readResult(flags.compare);
  const rows: Row[] = [];
  for (const experiment of chosen) {
    const measured = await experiment.run({ seed });
    for (const row of measured) console.log(formatRow(row));
    rows.push(...measured);
  }
  const result = { name, seed, at: new Date().toISOString(), rows };
  console.log(`saved ${await saveResult(result)}`);
  if (earlier !== undefined)
    for (const row of compareRows(rows, earlier.rows))
      console.log(formatCompared(row));
  if (flags.report !== undefined)
    await writeFile(flags.report, renderReport(result, earlier));
  process.exit(rows.every(isWithinBound) ? 0 : 1);
};

const cli = cac("bench");
cli
  .command("<name>", "Run an experiment, or all")
  .option("--seed <seed>", "Seed of random choices", { default: 1 })
  .option("--compare <file>", "Compare with an earlier saved result")
  .option("--report <file>", "Write an HTML page with plots")
  .action((name: string, flags: Flags) => runNamed(name, flags));
cli.help();
cli.parse();
