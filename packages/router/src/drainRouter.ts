/** Drains a router: fails its readiness check, then refuses new work, then ends remaining requests with a typed error. */

import { once } from "node:events";
import type { Server } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { now, type Timestamp } from "@cardamomglade/common";
import type { Settings } from "@cardamomglade/schema";
import { hasOpenClaims } from "./actions/ledgerState.js";
import type { StateView } from "./drivers/types.js";
import type { RouterEvent } from "./types.js";

/** Dependencies of a drain. */
export interface DrainOptions {
  readonly settings: Settings["drain"];
  readonly view: StateView;
  readonly callersServer: Server;
  readonly push: (event: RouterEvent) => void;
}

const pollIntervalMs = 20;
const flushTimeoutMs = 1000;
const releaseTimeoutMs = 1000;

const waitUntil = async (
  isDone: () => boolean,
  deadline: Timestamp,
): Promise<void> => {
  while (!isDone() && now() < deadline) await sleep(pollIntervalMs);
};

// Finished answers may not have been sent to their callers completely yet.
const flushAnswers = async (server: Server): Promise<void> => {
  if (!server.listening) return;
  const closed = once(server, "close");
  server.close();
  await Promise.race([
    closed,
    sleep(flushTimeoutMs, undefined, { ref: false }),
  ]);
};

/** Resolves when the router may stop: at the latest after the grace period, the flush of finished answers and the release of its leases, each with its own time-out. */
export const drainRouter = async ({
  settings,
  view,
  callersServer,
  push,
}: DrainOptions): Promise<void> => {
  const deadline = now() + settings.graceMs;
  const isIdle = () => {
    const { streams, queuedGenerations, serviceCalls, ledger } = view();
    return (
      streams.size === 0 &&
      queuedGenerations.size === 0 &&
      serviceCalls.size === 0 &&
      !hasOpenClaims(ledger)
    );
  };
  push({ type: "drainAnnounced", at: now() });
  await sleep(Math.min(settings.unreadyMs, settings.graceMs));
  push({ type: "drainStarted", at: now() });
  await waitUntil(isIdle, deadline);
  push({ type: "graceEnded", at: now() });
  await flushAnswers(callersServer);
  const hasReleasedLeases = () =>
    [...view().leases.values()].every(({ phase }) => phase.type === "idle");
  await waitUntil(hasReleasedLeases, now() + releaseTimeoutMs);
};
