/** The `status`, `history` and `explain` commands. */

import {
  callAdministration,
  ExitCode,
  type AdministrationResponse,
  type AdministrationFlags,
} from "../administration.js";
import { printResponse } from "./printResponse.js";

type Body = AdministrationResponse["body"];

const timeOf = (at: unknown): string =>
  typeof at === "number" ? new Date(at).toISOString() : "";

const printStatus = (body: Body): void => {
  const { router, revision, storeRevision, store, change } = body;
  const { by, why, at } = (change ?? {}) as Body;
  console.table([
    { router, revision, storeRevision, store, by, why, at: timeOf(at) },
  ]);
  console.table(body.leaving);
  const execution = body.execution as
    { router: string; at: number; steps: object[] } | undefined;
  if (execution === undefined) return;
  console.log(`executed by ${execution.router}, ${timeOf(execution.at)}`);
  console.table(execution.steps);
};

const printHistory = (body: Body): void => {
  const revisions = body.revisions as Body[];
  console.table(
    revisions.map(({ revision, by, why, at, planDigest }) => ({
      revision,
      by,
      why,
      at: timeOf(at),
      plan: String(planDigest).slice(0, 12),
    })),
  );
};

/** Prints the status of every given router. */
export const status = async (flags: AdministrationFlags): Promise<ExitCode> => {
  const urls = (flags.routers ?? "").split(",").filter((url) => url !== "");
  const path = "/status";
  const responses = await Promise.all(
    urls.map((routers) =>
      callAdministration({ ...flags, routers }, { method: "GET", path }),
    ),
  );
  const codes = responses.map((response) =>
    printResponse(flags, response, printStatus),
  );
  return codes.find((code) => code !== ExitCode.Done) ?? ExitCode.Done;
};

/** Prints the stored configuration revisions. */
export const history = async (flags: AdministrationFlags): Promise<ExitCode> =>
  printResponse(
    flags,
    await callAdministration(flags, { method: "GET", path: "/history" }),
    printHistory,
  );

/** Prints what the given routers know about a request, a host or a customer. */
export const explain = async (
  subject: string,
  flags: AdministrationFlags,
): Promise<ExitCode> => {
  const urls = (flags.routers ?? "").split(",").filter((url) => url !== "");
  const path = `/explain?subject=${encodeURIComponent(subject)}`;
  const responses = await Promise.all(
    urls.map((routers) =>
      callAdministration({ ...flags, routers }, { method: "GET", path }),
    ),
  );
  const found = responses.filter(({ status: code }) => code === 200);
  const shown = found.length > 0 ? found : responses.slice(0, 1);
  const codes = shown.map((response) =>
    printResponse(flags, response, (body) => {
      console.log(JSON.stringify(body, null, 2));
    }),
  );
  return codes[0] ?? ExitCode.Unavailable;
};
