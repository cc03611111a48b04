/** Processes of a fleet: how they start, and what can be asked of them. */

import { request } from "undici";
import type { Fault } from "@cardamomglade/stand-ins";
import { pollUntil } from "./pollUntil.js";
import { startProcess, waitForLine, type StartedProcess } from "./processes.js";

/** A stand-in and its address. */
export interface FleetMember {
  readonly name: string;
  readonly url: string;
  readonly process: StartedProcess;
}

/** A router and its addresses. */
export interface FleetRouter {
  readonly name: string;
  readonly callersUrl: string;
  readonly administrationUrl: string;
  readonly settingsFile: string;
  readonly process: StartedProcess;
}

const pollMs = 20;
const readyTimeoutMs = 10_000;

/** Starts a router and reads where it listens. */
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

/** Starts a stand-in of a kind. */
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

/** Waits until a router has a configuration in force. */
export const waitUntilReady = async ({
  name,
  administrationUrl,
}: FleetRouter): Promise<void> => {
  const askReady = async (): Promise<true | undefined> => {
    const res = await request(`${administrationUrl}/health/ready`);
    await res.body.dump();
    return res.statusCode === 200 ? true : undefined;
  };
  if (await pollUntil(askReady, pollMs, readyTimeoutMs)) return;
  throw new Error(
    `router "${name}" was not ready within ${String(readyTimeoutMs)} ms`,
  );
};

/** Orders a fault of a stand-in. */
export const orderFault = async (
  member: FleetMember,
  fault: Fault,
): Promise<void> => {
  const res = await request(`${member.url}/faults`, {
    method: "POST",
    body: JSON.stringify(fault),
  });
  await res.body.dump();
};

/** A stand-in's record of what was really run. */
export const readLedger = async <T>(member: FleetMember): Promise<T> => {
  const res = await request(`${member.url}/ledger`);
  return (await res.body.json()) as T;
};
