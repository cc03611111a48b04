/** The `plan`, `drain`, `undo` and `confirm` commands. */

import { readFile, writeFile } from "node:fs/promises";
import {
  checkDocument,
  validatePlan,
  type Intent,
} from "@cardamomglade/schema";
import {
  callAdministration,
  ExitCode,
  type AdministrationResponse,
  type AdministrationCall,
  type AdministrationFlags,
} from "../administration.js";
import { printFindings, readIntent } from "./check.js";
import { printResponse, printPlan } from "./printResponse.js";

/** Flags of the commands that request a plan. */
export interface PlanFlags extends AdministrationFlags {
  /** File to save the plan to, for `confirm`. */
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

const savePlan = async (
  flags: PlanFlags,
  { status, body }: AdministrationResponse,
): Promise<void> => {
  if (status !== 200 || flags.out === undefined) return;
  await writeFile(flags.out, JSON.stringify(body));
};

const requestPlan = async (
  flags: PlanFlags,
  call: AdministrationCall,
): Promise<ExitCode> => {
  const response = await callAdministration(flags, call);
  await savePlan(flags, response);
  return printResponse(flags, response, printPlan);
};

const planIntent = (flags: PlanFlags, intent: Intent): Promise<ExitCode> =>
  requestPlan(flags, { method: "POST", path: "/plan", body: { intent } });

/** Requests a plan for an intent file; changes nothing. */
export const plan = async (
  file: string,
  flags: PlanFlags,
): Promise<ExitCode> => {
  const intent = await readIntent(file);
  if (intent.type === "ok") return planIntent(flags, intent.value);
  printFindings(intent.error);
  return ExitCode.Invalid;
};

/** Requests a plan to drain a host by a deadline; changes nothing. */
export const drain = async (
  host: string,
  flags: DrainFlags,
): Promise<ExitCode> => {
  const deadlineMs = Date.parse(flags.by ?? "");
  if (Number.isNaN(deadlineMs)) {
    console.error(`--by "${flags.by ?? ""}" is not a valid time`);
    return ExitCode.Invalid;
  }
  const body = { host, emptyBy: new Date(deadlineMs).toISOString() };
  return requestPlan(flags, { method: "POST", path: "/drain", body });
};

/** Requests a plan to return to the previous intent; changes nothing. */
export const undo = (flags: PlanFlags): Promise<ExitCode> =>
  requestPlan(flags, { method: "POST", path: "/undo", body: {} });

const printConfirmation = ({
  revision,
  isEarlier,
}: AdministrationResponse["body"]) => {
  const when = isEarlier === true ? "was already confirmed" : "is confirmed";
  console.log(`revision ${String(revision)} ${when}`);
};

/** Confirms a plan saved with `--out`. */
export const confirm = async (
  file: string,
  flags: ConfirmFlags,
): Promise<ExitCode> => {
  const { why, acceptUnmet = false } = flags;
  if (why === undefined || why === "") {
    console.error("--why is required");
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
  const response = await callAdministration(flags, {
    method: "POST",
    path: "/confirm",
    body,
  });
  return printResponse(flags, response, printConfirmation);
};
