/** Command line of the benches: one experiment each. */

import { cac } from "cac";
import { experiments } from "./experiments/index.js";
import { formatRow } from "./report/formatRow.js";
import { isWithinBound } from "./report/judgeRow.js";
import type { Row } from "./types.js";

interface Flags {
  readonly seed: number;
}

const runNamed = async (name: string, { seed }: Flags): Promise<void> => {
  const chosen = experiments.filter(
    (one) => name === "all" || one.name === name,
  );
  if (chosen.length === 0) {
    const known = experiments.map((one) => one.name).join(", ");
    throw new Error(`no experiment "${name}"; known are ${known}, all`);
  }
  const rows: Row[] = [];
  for (const experiment of chosen)
    rows.push(...(await experiment.run({ seed })));
  for (const row of rows) console.log(formatRow(row));
  process.exit(rows.every(isWithinBound) ? 0 : 1);
};

const cli = cac("bench");
cli
  .command("<name>", "Run an experiment, or all")
  .option("--seed <seed>", "Seed of random choices", { default: 1 })
  .action((name: string, flags: Flags) => runNamed(name, flags));
cli.help();
cli.parse();
