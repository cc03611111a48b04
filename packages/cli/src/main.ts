#!/usr/bin/env node
/** The `cardamomglade` command. */

import { cac } from "cac";
import { check } from "./commands/check.js";
import { route } from "./commands/route.js";

const cli = cac("cardamomglade");

const exitWith = async (code: Promise<number>): Promise<void> => {
  process.exitCode = await code;
};

cli
  .command(
    "check [...files]",
    "Check settings and intent files; report every finding",
  )
  .action((files: string[]) => exitWith(check(files)));
cli
  .command("route", "Run a router")
  .option("--settings <file>", "Settings file in JSON")
  .action((flags: { settings: string }) => exitWith(route(flags.settings)));
cli.help();
cli.version("0.1.0");
cli.parse();
