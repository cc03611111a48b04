/** Prints responses of the administration API as text. */

import {
  exitCodeOf,
  type AdministrationResponse,
  type AdministrationFlags,
  type ExitCode,
} from "../administration.js";

interface ErrorBody {
  readonly type: string;
  readonly message: string;
}

interface LocatedMessage {
  readonly pointer: string;
  readonly message: string;
  readonly earliest?: number;
}

const printMessages = (list: readonly LocatedMessage[]): void => {
  for (const { pointer, message, earliest } of list) {
    const hint =
      earliest === undefined
        ? ""
        : `; the earliest is ${new Date(earliest).toISOString()}`;
    console.error(`${pointer} ${message}${hint}`);
  }
};

/** Prints a plan as tables. */
export const printPlan = (body: AdministrationResponse["body"]): void => {
  const plan = body as {
    digest?: string;
    baseRevision?: number;
    differences?: object[];
    steps?: { stage: number; detail: string; expectedMs: number }[];
    unmet?: LocatedMessage[];
    expectedMs?: number;
  };
  console.log(
    `plan ${plan.digest ?? ""} on revision ${String(plan.baseRevision ?? 0)}`,
  );
  console.table(plan.differences ?? []);
  const rows = (plan.steps ?? []).map(({ stage, detail, expectedMs }) => ({
    stage,
    step: detail,
    "expected s": Math.round(expectedMs / 100) / 10,
  }));
  console.table(rows);
  console.log(
    `expected: ${String(Math.ceil((plan.expectedMs ?? 0) / 1000))} s`,
  );
  printMessages(plan.unmet ?? []);
};

const printError = (body: AdministrationResponse["body"]): void => {
  const { type, message } = body.error as ErrorBody;
  console.error(`${type}: ${message}`);
  printMessages((body.findings ?? []) as LocatedMessage[]);
  if (body.yours !== undefined) {
    console.error("your changes since the plan's base revision:");
    console.error(JSON.stringify(body.yours, null, 2));
    console.error("changes confirmed since that revision:");
    console.error(JSON.stringify(body.theirs, null, 2));
  }
  if (body.fresh === undefined) return;
  console.error("a fresh plan:");
  printPlan(body.fresh as AdministrationResponse["body"]);
};

/** Prints a response, as JSON if asked for, and returns its exit code. */
export const printResponse = (
  flags: AdministrationFlags,
  response: AdministrationResponse,
  print: (body: AdministrationResponse["body"]) => void,
): ExitCode => {
  if (flags.json === true) console.log(JSON.stringify(response.body));
  else if (response.body.error !== undefined) printError(response.body);
  else print(response.body);
  return exitCodeOf(response);
};
