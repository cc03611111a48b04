/** The relay process: connects the drivers to the decision logic. */

import { setTimeout as sleep } from "node:timers/promises";
import {
  createChannel,
  createSourceDriver,
  createTimerDriver,
  now,
  runEventLoop,
  type Driver,
  type Timestamp,
} from "@cardamomglade/common";
import { createPortLog, Severity, type Log } from "@cardamomglade/observe";
import { tickIntervalMs } from "./decisions/constants.js";
import {
  createRelayState,
  decideRelay,
  isReady,
  type RelayStateOptions,
} from "./decisions/decideRelay.js";
import type { DecisionContext, RelayCommand } from "./decisions/commands.js";
import type { RelayEvent } from "./decisions/events.js";
import { backOffCount } from "./decisions/backOff/backOffs.js";
import { leavingReplicaCount } from "./decisions/leavingReplicas.js";
import { lostPathCount } from "./decisions/paths/paths.js";
import { noticeEndOf } from "./decisions/plannedStop/noticeEnd.js";
import { rolloutGauges } from "./decisions/rollout/rolloutGauges.js";
import { limitedReplicaCount } from "./decisions/requestLimits.js";
import type { RuntimeLimits } from "./decisions/types.js";
import { handoverAddressOf } from "./decisions/handover/handoverAddress.js";
import { createFrontDriver } from "./drivers/frontDriver.js";
import { Sender } from "./drivers/sender.js";
import { createPeerDriver } from "./drivers/peerDriver.js";
import { createLogDriver } from "./drivers/logDriver.js";
import { memoryBudget } from "./drivers/memory/memoryBudget.js";
import { logShortages } from "./drivers/memory/logShortages.js";
import { createReplicaDriver } from "./drivers/replicaDriver.js";
import { createTextServer } from "./drivers/textServer.js";
import { createRelayMetrics } from "./metrics.js";
import type { ReplicaProtocol, Address } from "./types.js";

/** Options of a relay. */
export interface RelayOptions {
  readonly front: Address;
  readonly readiness: Address;
  readonly metrics: Address;
  readonly protocol: ReplicaProtocol;
  readonly state: RelayStateOptions;
  readonly log: Log<DecisionContext>;
  /** Drivers of the platform, which supply configuration and replicas. */
  readonly platform: readonly Driver<RelayEvent, RelayCommand>[];
  /** Descriptors of the process; undefined if their number is not known. */
  readonly maxDescriptors?: () => number | undefined;
  /** Called when no more events are handled, because of an error in the event loop. */
  readonly onLoopEnded: () => void;
  /** Gauges of the platform's clients, added to the metrics. */
  readonly gauges: () => Readonly<Record<string, number>>;
}

/** A running relay. */
export interface Relay {
  /** Whether callers can reach it. */
  isOpen(): boolean;
  /** Applies changed limits. */
  applyRuntimeLimits(runtimeLimits: RuntimeLimits): void;
  /** Stops gracefully: requests that end by the deadline are completed. */
  drain(deadline: Timestamp): Promise<void>;
}

const drainPollMs = 50;
const maxArrivalReadRatio = 0.5; // of the time after the notice, so that what is read last can end

/** Starts a relay. */
export const createRelay = (options: RelayOptions): Relay => {
  const { log, protocol } = options;
  const metrics = createRelayMetrics();
  const portLog = (use: string, address: Address) =>
    createPortLog({ use, address }, log);
  const { maxDescriptors } = options;
  const frontOptions = {
    protocol,
    metrics,
    log,
    ...(maxDescriptors !== undefined && { maxDescriptors }),
  };
  const front = createFrontDriver({
    ...frontOptions,
    listen: options.front,
    sender: Sender.Callers,
  });
  const { address } = options.state;
  const peerDrivers =
    address === undefined
      ? []
      : [createPeerDriver(address, portLog("messages of routers", address))];
  const routerFronts =
    address === undefined
      ? []
      : [
          createFrontDriver({
            ...frontOptions,
            listen: handoverAddressOf(address),
            sender: Sender.Routers,
          }),
        ];
  const fronts = [front, ...routerFronts];
  const endShortageLog = logShortages(memoryBudget, log);
  const controlEvents = createChannel<RelayEvent>();
  let hasLoopEnded = false;
  const running = runEventLoop({
    reduce: decideRelay,
    state: createRelayState(options.state),
    drivers: [
      ...fronts,
      createReplicaDriver(protocol, metrics),
      createTimerDriver<RelayEvent>(tickIntervalMs, (at) => ({
        type: "timerTicked",
        at,
      })),
      ...peerDrivers,
      createLogDriver(log),
      ...options.platform,
      createSourceDriver(controlEvents.stream),
    ],
    onFailure: ({ type, error }) => {
      const detail = error instanceof Error ? error.stack : String(error);
      log(Severity.Error, "a decision or command failed", { type, detail });
      if (type !== "decide") return;
      hasLoopEnded = true;
      options.onLoopEnded();
    },
  });

  const readiness = createTextServer({
    listen: options.readiness,
    answer: () =>
      !hasLoopEnded && isReady(running.state()) && front.isOpen()
        ? { status: 200, text: "ready\n" }
        : { status: 503, text: "not ready\n" },
    onPortEvent: portLog("readiness", options.readiness),
  });
  const renderMetrics = (): string => {
    const state = running.state();
    const { exchanges, replicas, config, quarantine, limitCounts } = state;
    const { restorations, versions, handover, backOffs } = state;
    const { waitingLine, adoption } = state;
    const { secondTries } = state;
    return metrics.render({
      requests_under_way: exchanges.size,
      replicas_known: replicas.size,
      replicas_that_leave: leavingReplicaCount(state),
      replicas_adopted: adoption.adopted.size,
      replica_adoptions_total: adoption.adoptedCount,
      replica_adoptions_undone_total: adoption.undoneCount,
      replicas_that_want_no_requests: backOffCount(state),
      reopening_waits_total: backOffs.waitedCount,
      reopening_refusals_total: backOffs.refusedCount,
      services_without_path: lostPathCount(state),
      requests_handed_on_total: handover.handedOnCount,
      requests_taken_over_total: handover.takenOverCount,
      handover_refusals_total: handover.refusedCount,
      configuration_version: config?.version ?? 0,
      replicas_with_request_limit: limitedReplicaCount(state),
      request_limit_waits_total: limitCounts.waited,
      request_limit_refusals_total: limitCounts.refused,
      room_waits_total: waitingLine.waitedCount,
      room_waits_overdue_total: waitingLine.overdueCount,
      room_refusals_total: waitingLine.refusedCount,
      second_tries_total: secondTries.sentCount,
      second_tries_won_total: secondTries.wonCount,
      second_tries_wasted_ms_total: Math.round(secondTries.wastedMs),
      classes_of_work_timed: state.serviceTimes.size,
      store_restorations_total: restorations.count,
      quarantines_in_force: quarantine.inForce.size,
      quarantine_refusals_total: quarantine.refusedCount,
      services_with_several_versions: versions.announced.size,
      streams_not_taken_up_total: versions.refusedCount,
      engine_crashes_remembered: quarantine.crashes.size,
      memory_budget_bytes: memoryBudget.use().maxBytes,
      memory_held_bytes: memoryBudget.bytes,
      memory_given_up_total: memoryBudget.gaveWayCount,
      ...rolloutGauges(state),
      ...options.gauges(),
    });
  };
  const metricsServer = createTextServer({
    listen: options.metrics,
    answer: () => ({ status: 200, text: renderMetrics() }),
    onPortEvent: portLog("metrics", options.metrics),
  });

  return {
    isOpen: () => front.isOpen(),
    applyRuntimeLimits: (runtimeLimits) => {
      controlEvents.push({ type: "limitsChanged", at: now(), runtimeLimits });
    },
    drain: async (deadline) => {
      const at = now();
      const noticeEndsAt = noticeEndOf(at, deadline);
      const readBy =
        noticeEndsAt + maxArrivalReadRatio * (deadline - noticeEndsAt);
      controlEvents.push({
        type: "drainStarted",
        at,
        noticeEndsAt,
        endsAt: deadline,
      });
      const isIdle = () =>
        running.state().exchanges.size === 0 &&
        fronts.every((one) => one.openRequestCount() === 0);
      // Without the loop nothing under way can end.
      while (now() < deadline && !hasLoopEnded) {
        if (now() >= noticeEndsAt) {
          const closed = await Promise.all(
            fronts.map((one) => one.closeIdle(readBy)),
          );
          if (closed.every(Boolean) && isIdle()) break;
        }
        await sleep(drainPollMs);
      }
      controlEvents.push({ type: "drainEnded", at: now() });
      await running.stop();
      endShortageLog();
      readiness.close();
      metricsServer.close();
    },
  };
};
