/** Injects a planned fault into the processes of a fleet. */

import { setTimeout as sleep } from "node:timers/promises";
import { assertNever } from "@cardamomglade/common";
import type { Fault } from "@cardamomglade/stand-ins";
import type { Fleet } from "../harness/fleet.js";
import {
  injectStandInFault,
  type FleetMember,
} from "../harness/fleetMembers.js";
import type { RunRecorder } from "../harness/runRecorder.js";
import type { FaultAction, PlannedFault } from "./types.js";

type StandInAction = Exclude<
  FaultAction,
  { type: "engineKill" | "routerKill" | "routerPause" }
>;

const slowFactor = 6;
const responseDelayMs = 400;
const droppedResponseCount = 3;

const memberAt = (
  members: readonly FleetMember[],
  index: number,
): FleetMember => {
  const member = members[index];
  if (member === undefined)
    throw new Error(`fleet has no member with index ${String(index)}`);
  return member;
};

const killRouter = async (
  fleet: Fleet,
  recorder: RunRecorder,
  index: number,
  durationMs: number,
): Promise<void> => {
  const router = fleet.routers[index];
  if (router === undefined) return;
  const end = recorder.recordRouterFault(router.name, "killed");
  router.process.signal("SIGKILL");
  await sleep(durationMs);
  await fleet.restartRouter(index);
  end();
};

const pauseRouter = async (
  fleet: Fleet,
  recorder: RunRecorder,
  index: number,
  durationMs: number,
): Promise<void> => {
  const router = fleet.routers[index];
  if (router === undefined) return;
  const end = recorder.recordRouterFault(router.name, "paused");
  router.process.signal("SIGSTOP");
  await sleep(durationMs);
  router.process.signal("SIGCONT");
  end();
};

const count = droppedResponseCount;

const standInFaultOf = (action: StandInAction, durationMs: number): Fault => {
  const until = Date.now() + durationMs;
  switch (action.type) {
    case "engineFreeze":
      return { type: "freeze", forMs: durationMs };
    case "engineSlow":
      return { type: "slow", factor: slowFactor, until };
    case "engineStall":
      return { type: "stall", until };
    case "engineDropAnswers":
      return { type: "dropAnswer", path: "/v1/completions", count, until };
    case "serviceDropAnswers":
      return { type: "dropAnswer", path: "/book", count, until };
    case "keyValueDropAnswers":
      return { type: "dropAnswer", path: "/v3/kv/txn", count, until };
    case "engineDropConnections":
    case "keyValueOutage":
      return { type: "outage", until };
    case "keyValueSlow":
      return { type: "delay", path: "/v3/kv", byMs: responseDelayMs, until };
    default:
      return assertNever(action);
  }
};

const targetMemberOf = (fleet: Fleet, action: FaultAction): FleetMember => {
  if ("engine" in action) return memberAt(fleet.engines, action.engine);
  if ("service" in action) return memberAt(fleet.services, action.service);
  return fleet.keyValue;
};

/** Injects a fault now; resolves when the router runs again, the engine is killed, or the stand-in has accepted the fault. */
export const injectFault = async (
  fleet: Fleet,
  recorder: RunRecorder,
  { action, durationMs }: PlannedFault,
): Promise<void> => {
  switch (action.type) {
    case "routerKill":
      await killRouter(fleet, recorder, action.router, durationMs);
      return;
    case "routerPause":
      await pauseRouter(fleet, recorder, action.router, durationMs);
      return;
    case "engineKill":
      await recorder.killEngine(memberAt(fleet.engines, action.engine));
      return;
    default: {
      const target = targetMemberOf(fleet, action);
      if (!recorder.isKilled(target))
        await injectStandInFault(target, standInFaultOf(action, durationMs));
    }
  }
};
