/** Wires drivers to decisions: one router process. */

import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createChannel,
  runProcess,
  type RunningProcess,
  now,
} from "@cardamomglade/common";
import {
  LogLevel,
  type ListenAddress,
  type Settings,
} from "@cardamomglade/schema";
import { KeyValueClient } from "@cardamomglade/platform";
import { EngineClient, ServiceClient } from "@cardamomglade/upstream";
import { createAdministrationServer } from "./administration/createAdministrationServer.js";
import { createHealthRoutes } from "./administration/healthRoutes.js";
import { createMetricsRoute } from "./administration/metricsRoute.js";
import { createTimelineRoute } from "./administration/timelineRoute.js";
import { createRouterState, decide } from "./decide.js";
import { createCallerDriver } from "./drivers/callerDriver.js";
import { createConfigDriver } from "./drivers/configDriver.js";
import { createEngineDriver } from "./drivers/engineDriver.js";
import { createLedgerDriver } from "./drivers/ledgerDriver.js";
import { createPeerDriver } from "./drivers/peerDriver.js";
import { createServiceDriver } from "./drivers/serviceDriver.js";
import { createTickDriver } from "./drivers/tickDriver.js";
import { createTimelineDriver } from "./drivers/timelineDriver.js";
import { createLog } from "./log.js";
import { Metrics } from "./metrics.js";
import type { RouterEvent, RouterState } from "./types.js";

/** A running router. */
export interface Router {
  readonly callersUrl: string;
  readonly administrationUrl: string;
  state(): RouterState;
  /** Takes no new work, waits for work under way up to the grace, then stops. */
  drain(): Promise<void>;
  stop(): Promise<void>;
}

const drainPollMs = 50;

const listen = (
  server: Server,
  { address, port }: ListenAddress,
): Promise<string> =>
  new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => {
      const bound = server.address() as AddressInfo;
      resolve(`http://${address}:${String(bound.port)}`);
    });
  });

/** Starts a router with checked settings. */
export const createRouter = async (settings: Settings): Promise<Router> => {
  const log = createLog(settings.router, settings.log.level);
  const metrics = Metrics.create();
  const keyValue = KeyValueClient.create({
    endpoints: settings.keyValue.endpoints,
  });
  const control = createChannel<RouterEvent>();
  const initial = createRouterState(settings.router);
  const started: { process?: RunningProcess<RouterState> } = {};
  const view = () => started.process?.state() ?? initial;

  const { prefix } = settings.keyValue;
  const callers = createCallerDriver({ settings, view, metrics });
  const timeline = createTimelineDriver(settings.router.name);
  const peers = await createPeerDriver(settings, view);
  const drivers = [
    callers,
    peers,
    timeline,
    createEngineDriver(EngineClient.create()),
    createServiceDriver(ServiceClient.create()),
    createConfigDriver(keyValue, prefix, log),
    createLedgerDriver(keyValue, prefix, settings.ledger.keyLifetimeMs),
    createTickDriver(),
    {
      events: control.stream,
      perform: () => undefined,
      stop: () => keyValue.close(),
    },
  ];
  const onFailure = (failure: unknown) => {
    log(LogLevel.Error, "the process fold failed", { detail: String(failure) });
  };
  const running = runProcess({ decide, state: initial, drivers, onFailure });
  started.process = running;

  const administration = createAdministrationServer(settings.operators, [
    ...createHealthRoutes(view),
    createMetricsRoute(view, metrics),
    createTimelineRoute(timeline.recorded),
  ]);
  const callersUrl = await listen(callers.server, settings.listen.callers);
  const administrationUrl = await listen(
    administration,
    settings.listen.administration,
  );
  control.push({
    type: "addressesBound",
    at: now(),
    peersUrl: peers.url,
    callersUrl,
    administrationUrl,
  });
  log(LogLevel.Info, "listening", {
    detail: `${callersUrl} ${administrationUrl}`,
  });

  const stop = async () => {
    administration.close();
    administration.closeAllConnections();
    await running.stop();
  };
  const isBusy = () => view().streams.size > 0 || view().serviceCalls.size > 0;
  const drain = async () => {
    const deadline = now() + settings.drain.graceMs;
    control.push({ type: "drainStarted", at: now() });
    await sleep(settings.drain.unreadyMs);
    while (isBusy() && now() < deadline) await sleep(drainPollMs);
    await stop();
  };
  return { callersUrl, administrationUrl, state: () => view(), drain, stop };
};
