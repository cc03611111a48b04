/** Commands that make plans and confirm them. */

import { readFile, writeFile } from "node:fs/promises";
import {
  checkDocument,
  validatePlan,
  type Intent,
} from "@cardamomglade/schema";
import {
  callAdministration,
  ExitCode,
  type AdministrationAnswer,
  type AdministrationCall,
  type AdministrationFlags,
} from "../administration.js";
import { printFindings, readIntent } from "./check.js";
import { printAnswer, printPlan } from "./printAnswer.js";

/** Flags of the commands that make a plan. */
export interface PlanFlags extends AdministrationFlags {
  /** File to keep the plan in, for `confirm`. */
  readonly out?: string;
}

/** Flags of `confirm`. */
export interface ConfirmFlags extends AdministrationFlags {
  readonly why?: string;
  readonly acceptUnmet?: boolean;
}

/** Flags of `drain`. */
export interface DrainFlags extends PlanFlags {
  readonly by?: string;
}

const keepPlan = async (
  flags: PlanFlags,
  { status, body }: AdministrationAnswer,
): Promise<void> => {
  if (status !== 200 || flags.out === undefined) return;
  await writeFile(flags.out, JSON.stringify(body));
};

const askForPlan = async (
  flags: PlanFlags,
  call: AdministrationCall,
): Promise<ExitCode> => {
  const answer = await callAdministration(flags, call);
  await keepPlan(flags, answer);
  return printAnswer(flags, answer, printPlan);
};

const planIntent = (flags: PlanFlags, intent: Intent): Promise<ExitCode> =>
  askForPlan(flags, { method: "POST", path: "/plan", body: { intent } });

/** Plans an intent file; changes nothing. */
export const plan = async (
  file: string,
  flags: PlanFlags,
): Promise<ExitCode> => {
  const intent = await readIntent(file);
  if (intent.type === "ok") return planIntent(flags, intent.value);
  printFindings(intent.error);
  return ExitCode.Invalid;
};

/** Plans to empty a host by a moment; changes nothing. */
export const drain = async (
  host: string,
  flags: DrainFlags,
): Promise<ExitCode> => {
  const moment = Date.parse(flags.by ?? "");
  if (Number.isNaN(moment)) {
    console.error(`--by "${flags.by ?? ""}" is no moment`);
    return ExitCode.Invalid;
  }
  const body = { host, emptyBy: new Date(moment).toISOString() };
  return askForPlan(flags, { method: "POST", path: "/drain", body });
};

/** Plans the way back to the intent before; changes nothing. */
export const undo = (flags: PlanFlags): Promise<ExitCode> =>
  askForPlan(flags, { method: "POST", path: "/undo", body: {} });

const printConfirmed = ({
  revision,
  isEarlier,
}: AdministrationAnswer["body"]) => {
  const when = isEarlier === true ? "was confirmed before" : "is confirmed";
  console.log(`revision ${String(revision)} ${when}`);
};

/** Confirms a kept plan. */
export const confirm = async (
  file: string,
  flags: ConfirmFlags,
): Promise<ExitCode> => {
  const { why, acceptUnmet = false } = flags;
  if (why === undefined || why === "") {
    console.error("--why is needed");
    return ExitCode.Invalid;
  }
  const checked = checkDocument(
    file,
    await readFile(file, "utf8"),
    validatePlan,
  );
  if (checked.type === "err") {
    printFindings(checked.error);
    return ExitCode.Invalid;
  }
  const { digest, baseRevision, intent } = checked.value;
  const body = { digest, baseRevision, intent, why, acceptUnmet };
  const answer = await callAdministration(flags, {
    method: "POST",
    path: "/confirm",
    body,
  });
  return printAnswer(flags, answer, printConfirmed);
};
