#!/usr/bin/env node
/** The `cardamomglade` command. */

import { cac } from "cac";
import { check } from "./commands/check.js";
import { route } from "./commands/route.js";
import { timeline, type TimelineFlags } from "./commands/timeline.js";

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
cli
  .command("timeline", "Merge the time lines of all routers")
  .option("--settings <file>", "Settings file of a router to ask")
  .option("--routers <urls>", "Administration URLs, separated by commas")
  .option("--token-file <file>", "File with an operator's token")
  .option("--request <id>", "Only the events of a request")
  .option("--since <moment>", "Only events after a moment")
  .option("--follow", "Go on with new events")
  .option("--format <format>", "text, json or html", { default: "text" })
  .action((flags: TimelineFlags) => exitWith(timeline(flags)));
cli.help();
cli.version("0.1.0");
cli.parse();
