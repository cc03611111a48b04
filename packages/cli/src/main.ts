#!/usr/bin/env node
/** The `cardamomglade` command. */

import { cac } from "cac";
import type { AdministrationFlags } from "./administration.js";
import { check, type CheckFlags } from "./commands/check.js";
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
import {
  quarantines,
  release,
  type StoreFlags,
} from "./commands/quarantines.js";
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
  .option("--format <format>", "text or json", { default: "text" })
  .option(
    "--against <file>",
    "Configuration in force: say what the new one changes for callers",
  )
  .action((files: string[], flags: CheckFlags) =>
    exitWith(check(files, flags)),
  );
cli
  .command("route", "Run a router")
  .option("--settings <file>", "Settings file in JSON")
  .action((flags: { settings: string }) => exitWith(route(flags.settings)));
cli
  .command("timeline", "Merge the timelines of all routers")
  .option("--settings <file>", "Settings file of the router to query")
  .option("--routers <urls>", "Administration URLs, separated by commas")
  .option("--token-file <file>", "File that contains an operator's token")
  .option("--request <id>", "Only the events of this request")
  .option("--since <time>", "Only events after this time")
  .option("--follow", "Keep printing new events")
  .option("--format <format>", "text, json or html", { default: "text" })
  .action((flags: TimelineFlags) => exitWith(timeline(flags)));

const routersFlag = [
  "--routers <urls>",
  "Administration URLs, separated by commas",
] as const;
const tokenFlag = [
  "--token-file <file>",
  "File that contains an operator's token",
] as const;
const jsonFlag = ["--json", "Print the response as JSON"] as const;
const outFlag = [
  "--out <file>",
  "Save the plan to a file, for confirm",
] as const;

const administrationCommand = (name: string, description: string) =>
  cli
    .command(name, description)
    .option(...routersFlag)
    .option(...tokenFlag)
    .option(...jsonFlag);

administrationCommand("plan <file>", "Plan an intent without changing anything")
  .option(...outFlag)
  .action((file: string, flags: PlanFlags) => exitWith(plan(file, flags)));
administrationCommand("drain <host>", "Plan to drain a host by a deadline")
  .option("--by <time>", "Time by which the host must be empty")
  .option(...outFlag)
  .action((host: string, flags: DrainFlags) => exitWith(drain(host, flags)));
administrationCommand("undo", "Plan a return to the previous intent")
  .option(...outFlag)
  .action((flags: PlanFlags) => exitWith(undo(flags)));
administrationCommand("confirm <plan>", "Confirm a saved plan")
  .option("--why <reason>", "Reason, stored in the history")
  .option("--accept-unmet", "Confirm the plan even if it cannot be met in full")
  .action((file: string, flags: ConfirmFlags) =>
    exitWith(confirm(file, flags)),
  );
administrationCommand(
  "status",
  "Configuration in force and changes in progress",
).action((flags: AdministrationFlags) => exitWith(status(flags)));
administrationCommand("history", "Revisions, with operator and reason").action(
  (flags: AdministrationFlags) => exitWith(history(flags)),
);
administrationCommand(
  "explain <subject> [...logs]",
  "Explain a request, a host or a customer; with log files, print the log lines of a request",
).action((subject: string, logs: string[], flags: AdministrationFlags) =>
  exitWith(
    logs.length > 0 ? explainLogs(subject, logs) : explain(subject, flags),
  ),
);
const storeFlag = [
  "--store <address>",
  "Address of the platform's store, IP:PORT",
] as const;

cli
  .command("quarantines", "List the prompt blocks that routers hold back")
  .option(...storeFlag)
  .action((flags: StoreFlags) => exitWith(quarantines(flags)));
cli
  .command("release <key>", "Release a quarantine at all routers")
  .option(...storeFlag)
  .action((key: string, flags: StoreFlags) => exitWith(release(key, flags)));
cli.addEventListener("command:*", () => {
  console.error(`unknown command "${cli.args.join(" ")}"; see --help`);
  process.exitCode = usageExitCode;
});
cli.help();
cli.version("0.1.0");

try {
  cli.parse();
} catch (error) {
  // An option that is not known, or without its value.
  console.error(error instanceof Error ? error.message : String(error));
  process.exitCode = usageExitCode;
}
