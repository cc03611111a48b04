#!/usr/bin/env node
/** The `cardamomglade` command. */

import { cac } from "cac";
import type { AdministrationFlags } from "./administration.js";
import { check } from "./commands/check.js";
import { explainLogs } from "./commands/explainLogs.js";
import {
  confirm,
  drain,
  plan,
  undo,
  type ConfirmFlags,
  type DrainFlags,
  type PlanFlags,
} from "./commands/plan.js";
import { route } from "./commands/route.js";
import { explain, history, status } from "./commands/status.js";
import { timeline, type TimelineFlags } from "./commands/timeline.js";

const usageExitCode = 2;
const cli = cac("cardamomglade");

const exitWith = async (code: Promise<number>): Promise<void> => {
  process.exitCode = await code;
};

cli
  .command(
    "check [...files]",
    "Check settings, intents, and the platform's settings, deploy and configuration files; report every finding",
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

const routersFlag = [
  "--routers <urls>",
  "Administration URLs, separated by commas",
] as const;
const tokenFlag = [
  "--token-file <file>",
  "File with an operator's token",
] as const;
const jsonFlag = ["--json", "Print the answer as JSON"] as const;
const outFlag = [
  "--out <file>",
  "Keep the plan in a file, for confirm",
] as const;

const administrationCommand = (name: string, description: string) =>
  cli
    .command(name, description)
    .option(...routersFlag)
    .option(...tokenFlag)
    .option(...jsonFlag);

administrationCommand("plan <file>", "Plan an intent; changes nothing")
  .option(...outFlag)
  .action((file: string, flags: PlanFlags) => exitWith(plan(file, flags)));
administrationCommand("drain <host>", "Plan to empty a host by a moment")
  .option("--by <moment>", "Moment by which the host is empty")
  .option(...outFlag)
  .action((host: string, flags: DrainFlags) => exitWith(drain(host, flags)));
administrationCommand("undo", "Plan the way back to the intent before")
  .option(...outFlag)
  .action((flags: PlanFlags) => exitWith(undo(flags)));
administrationCommand("confirm <plan>", "Confirm a kept plan")
  .option("--why <reason>", "Reason, kept in the history")
  .option("--accept-unmet", "Confirm also what cannot be met in full")
  .action((file: string, flags: ConfirmFlags) =>
    exitWith(confirm(file, flags)),
  );
administrationCommand(
  "status",
  "What is in force and what is under way",
).action((flags: AdministrationFlags) => exitWith(status(flags)));
administrationCommand("history", "Revisions, with who and why").action(
  (flags: AdministrationFlags) => exitWith(history(flags)),
);
administrationCommand(
  "explain <subject> [...logs]",
  "What is known of a request, a host or a customer; with log files, a request's way",
).action((subject: string, logs: string[], flags: AdministrationFlags) =>
  exitWith(
    logs.length > 0 ? explainLogs(subject, logs) : explain(subject, flags),
  ),
);
cli.addEventListener("command:*", () => {
  console.error(`unknown command "${cli.args.join(" ")}"; see --help`);
  process.exitCode = usageExitCode;
});
cli.help();
cli.version("0.1.0");
cli.parse();
