/** Starts the processes of a fleet, waits for readiness, injects stand-in faults and reads ledgers. */

import { request } from "undici";
import type { Fault } from "@cardamomglade/stand-ins";
import { pollUntil } from "./pollUntil.js";
import { startProcess, waitForLine, type StartedProcess } from "./processes.js";

/** A running stand-in and its address. */
export interface FleetMember {
  readonly name: string;
  readonly url: string;
  readonly process: StartedProcess;
}

/** A running router and its addresses. */
export interface FleetRouter {
  readonly name: string;
  readonly callersUrl: string;
  readonly administrationUrl: string;
  readonly settingsFile: string;
  readonly process: StartedProcess;
}

const pollIntervalMs = 20;
const readyTimeoutMs = 10_000;

/** Starts a router and reads its addresses from the log. */
export const launchRouter = async (
  name: string,
  settingsFile: string,
): Promise<FleetRouter> => {
  const started = startProcess({
    name,
    script: "cardamomglade",
    args: ["route", "--settings", settingsFile],
  });
  const line = await waitForLine(
    started,
    ({ message }) => message === "listening",
  );
  const { detail } = line.context as { detail: string };
  const [callersUrl = "", administrationUrl = ""] = detail.split(" ");
  return {
    name,
    callersUrl,
    administrationUrl,
    settingsFile,
    process: started,
  };
};

/** Starts a stand-in of a kind and reads its address. */
export const startStandIn = async (
  kind: string,
  name: string,
  flags: readonly string[],
): Promise<FleetMember> => {
  const started = startProcess({
    name,
    script: "stand-in",
    args: [kind, "--name", name, ...flags],
  });
  const line = await waitForLine(started, ({ url }) => typeof url === "string");
  return { name, url: String(line.url), process: started };
};

/** Waits until a router reports that it is ready. */
export const waitUntilReady = async ({
  name,
  administrationUrl,
}: FleetRouter): Promise<void> => {
  const readReady = async (): Promise<true | undefined> => {
    const res = await request(`${administrationUrl}/health/ready`);
    await res.body.dump();
    return res.statusCode === 200 ? true : undefined;
  };
  if (await pollUntil(readReady, pollIntervalMs, readyTimeoutMs)) return;
  throw new Error(
    `router "${name}" was not ready within ${String(readyTimeoutMs)} ms`,
  );
};

/** Injects a fault into a stand-in. */
export const injectStandInFault = async (
  member: FleetMember,
  fault: Fault,
): Promise<void> => {
  const res = await request(`${member.url}/faults`, {
    method: "POST",
    body: JSON.stringify(fault),
  });
  await res.body.dump();
};

/** Reads a stand-in's ledger, the record of what it has run. */
export const readLedger = async <T>(member: FleetMember): Promise<T> => {
  const res = await request(`${member.url}/ledger`);
  return (await res.body.json()) as T;
};
