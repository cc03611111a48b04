/** Creates a router process: connects the drivers to `decide`. */

import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import {
  createChannel,
  createSourceDriver,
  createTimerDriver,
  now,
  runEventLoop,
  type EventLoopFailure,
  type EventLoop,
} from "@cardamomglade/common";
import type { RoutingStrategy } from "@cardamomglade/decisions";
import {
  LogLevel,
  RoutingStrategyName,
  type ListenAddress,
  type Settings,
} from "@cardamomglade/schema";
import { KeyValueClient } from "@cardamomglade/platform";
import {
  CacheEventClient,
  EngineClient,
  ServiceClient,
} from "@cardamomglade/upstream";
import { serveAdministration } from "./administration/serveAdministration.js";
import { createConfirmRoute } from "./administration/confirmRoute.js";
import { createExplainRoute } from "./administration/explainRoute.js";
import { createHealthRoutes } from "./administration/healthRoutes.js";
import { createMetricsRoute } from "./administration/metricsRoute.js";
import { createPlanRoutes } from "./administration/planRoutes.js";
import { createStatusRoutes } from "./administration/statusRoutes.js";
import { createTimelineRoute } from "./administration/timelineRoute.js";
import { drainRouter } from "./drainRouter.js";
import { createRouterState, decide } from "./decide.js";
import { createLedgerState } from "./actions/ledgerState.js";
import { OpenBodies } from "./connections/openBodies.js";
import { createCallerDriver } from "./drivers/callerDriver.js";
import { createConfigDriver } from "./drivers/configDriver.js";
import { createHostListDriver } from "./drivers/hostListDriver.js";
import { createOrderDriver } from "./drivers/orderDriver.js";
import { ConfigStore } from "./configuration/configStore.js";
import { createEngineDriver } from "./drivers/engineDriver.js";
import { createLeaseDriver } from "./drivers/leaseDriver.js";
import { createLeaseHoldersDriver } from "./drivers/leaseHoldersDriver.js";
import { createLedgerDriver } from "./drivers/ledgerDriver.js";
import { createLoadDriver } from "./drivers/loadDriver.js";
import { createPeerDriver } from "./drivers/peerDriver.js";
import { createLogDriver } from "./drivers/logDriver.js";
import { createProcessClock } from "./drivers/processClock.js";
import { createServiceDriver } from "./drivers/serviceDriver.js";
import { createTimelineDriver } from "./drivers/timelineDriver.js";
import { createLog, type Log } from "./log.js";
import { createConnector } from "./tls/createConnector.js";
import { createHttpServer } from "./tls/createHttpServer.js";
import { createMetrics } from "./metrics.js";
import type { RouterEvent, RouterState } from "./types.js";

/** A running router. */
export interface Router {
  readonly callersUrl: string;
  readonly administrationUrl: string;
  /** Resolves on an error in `decide`, after which the process cannot continue; the daemon then exits. */
  readonly failed: Promise<void>;
  state(): RouterState;
  /** Refuses new work, waits up to the grace period for requests in flight, then stops. */
  drain(): Promise<void>;
  stop(): Promise<void>;
}

const connectTimeoutMs = 400;
const tickIntervalMs = 50;

const strategyByName: Readonly<Record<RoutingStrategyName, RoutingStrategy>> = {
  [RoutingStrategyName.Balanced]: { type: "balanced" },
  [RoutingStrategyName.RoundRobin]: { type: "roundRobin" },
  [RoutingStrategyName.LeastInFlight]: { type: "leastInFlight" },
};

const startListening = (
  server: Server,
  { address, port, tls }: ListenAddress,
): Promise<string> =>
  new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, () => {
      const bound = server.address() as AddressInfo;
      const scheme = tls === undefined ? "http" : "https";
      resolve(`${scheme}://${address}:${String(bound.port)}`);
    });
  });

interface FailureWatch {
  readonly failed: Promise<void>;
  readonly onFailure: (failure: EventLoopFailure) => void;
}

const watchFailures = (log: Log): FailureWatch => {
  let resolveFailed: () => void = () => undefined;
  const failed = new Promise<void>((resolve) => {
    resolveFailed = resolve;
  });
  const onFailure = ({ type, error }: EventLoopFailure) => {
    const detail = error instanceof Error ? error.stack : String(error);
    log(LogLevel.Error, `the process failed to ${type}`, {
      detail: detail ?? "",
    });
    if (type === "decide") resolveFailed();
  };
  return { failed, onFailure };
};

/** Starts a router; the settings must be validated already. */
export const createRouter = async (settings: Settings): Promise<Router> => {
  const log = createLog(settings.router, settings.log.level);
  const metrics = createMetrics();
  const connectKeyValue = await createConnector({
    tls: settings.keyValue.tls,
    connectTimeoutMs,
    log,
  });
  const connectUpstream = await createConnector({
    tls: settings.upstreamTls,
    connectTimeoutMs,
    log,
  });
  const keyValue = KeyValueClient.create({
    endpoints: settings.keyValue.endpoints,
    writesPerSecond: settings.keyValue.fleetWritesPerSecond,
    readsPerSecond: settings.keyValue.fleetReadsPerSecond,
    connector: connectKeyValue,
  });
  const control = createChannel<RouterEvent>();
  const initialState = createRouterState(settings.router, {
    leaseTtlMs: settings.ledger.leaseTtlMs,
    ledger: createLedgerState({
      ...settings.ledger,
      fleetWritesPerSecond: settings.keyValue.fleetWritesPerSecond,
    }),
    strategy: strategyByName[settings.routing.strategy],
  });
  const started: { process?: EventLoop<RouterState> } = {};
  const view = () => started.process?.state() ?? initialState;

  const { listen, limits } = settings;
  const bodies = OpenBodies.create(
    Math.max(limits.bodiesBytes, limits.bodyBytes),
  );
  const callersServer = await createHttpServer({
    listen: listen.callers,
    limits,
    bodies,
    log,
  });
  const administrationServer = await createHttpServer({
    listen: listen.administration,
    limits,
    bodies,
    log,
  });
  const { prefix } = settings.keyValue;
  const callers = createCallerDriver({
    settings,
    view,
    metrics,
    server: callersServer,
    bodies,
  });
  const clock = createProcessClock(settings.router.name);
  const timeline = createTimelineDriver(settings.router.name, clock);
  const peers = await createPeerDriver(settings, view, clock);
  const engines = EngineClient.create(connectUpstream);
  const store = ConfigStore.create(keyValue, prefix);
  const weightStoreUrl = settings.weightStore?.url;
  const planInputSources = { store, engines, weightStoreUrl };
  const drivers = [
    callers,
    peers,
    timeline,
    createLogDriver(log),
    createEngineDriver(engines),
    createOrderDriver({
      view,
      engines,
      keyValue,
      prefix,
      store,
      weightStoreUrl,
      connector: connectUpstream,
      log,
    }),
    createHostListDriver(settings.hostList?.url, log),
    createServiceDriver(ServiceClient.create(connectUpstream)),
    createConfigDriver(keyValue, prefix, log),
    createLeaseDriver(keyValue, prefix),
    createLeaseHoldersDriver(keyValue, prefix),
    createLedgerDriver({ keyValue, prefix, router: settings.router.name, log }),
    createLoadDriver(engines, CacheEventClient.create(connectUpstream), view),
    createTimerDriver<RouterEvent>(tickIntervalMs, (at) => ({
      type: "timerTicked",
      at,
    })),
    createSourceDriver(control.stream, () => keyValue.close()),
  ];
  const { failed, onFailure } = watchFailures(log);
  const running = runEventLoop({
    reduce: decide,
    state: initialState,
    drivers,
    onFailure,
  });
  started.process = running;

  serveAdministration({
    server: administrationServer,
    operators: settings.operators,
    bodies,
    routes: [
      ...createHealthRoutes(view),
      createMetricsRoute(view, metrics, keyValue),
      createTimelineRoute(view, timeline.ring),
      ...createPlanRoutes(planInputSources),
      createConfirmRoute(planInputSources),
      ...createStatusRoutes({ view, keyValue, prefix, store }),
      createExplainRoute(view, timeline.ring),
    ],
  });
  const callersUrl = await startListening(callersServer, listen.callers);
  const administrationUrl = await startListening(
    administrationServer,
    listen.administration,
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
    log(LogLevel.Info, "stopping");
    administrationServer.close();
    administrationServer.closeAllConnections();
    await running.stop();
  };
  const drain = async () => {
    await drainRouter({
      settings: settings.drain,
      view,
      callersServer,
      push: (event) => {
        control.push(event);
      },
    });
    await stop();
  };
  return {
    callersUrl,
    administrationUrl,
    failed,
    state: () => view(),
    drain,
    stop,
  };
};
