/** Derives the steps of a plan by simulating its execution. */

import {
  StepKind,
  type Deployment,
  type Intent,
  type PlanStep,
} from "@cardamomglade/schema";
import { servedDeployments } from "../config/index.js";
import { totalBytesOf, weightKeyOf } from "../intent/index.js";
import { nextOrders } from "./nextOrders.js";
import { initialServing, nextServing } from "./nextServing.js";
import type {
  EngineObservation,
  EngineOrder,
  PlacementSnapshot,
} from "./types.js";

/** Rates from which expected times are computed. */
export interface PlanRates {
  readonly bytesPerSecond: number;
  /** Time to drain the requests in flight on a back end. */
  readonly drainMs: (backEnd: string) => number;
}

/** Steps of a plan, and the deployments that it cannot bring to the intent. */
export interface SimulatedPlan {
  readonly steps: readonly PlanStep[];
  readonly expectedMs: number;
  /** Deployments that are not served as the intent requires at the end, with the reason. */
  readonly unserved: readonly { deployment: string; reason: string }[];
}

const msPerSecond = 1000;
const maxStageCount = 64;

const loadMs = (
  intent: Intent,
  { loaded }: EngineObservation,
  { weight }: EngineOrder,
  { bytesPerSecond }: PlanRates,
): number => {
  const added =
    totalBytesOf(intent, [...loaded, weight]) - totalBytesOf(intent, loaded);
  return (added / bytesPerSecond) * msPerSecond;
};

const applyOrder = (
  { loaded, busy }: EngineObservation,
  { type, weight }: EngineOrder,
): EngineObservation => {
  const others = loaded.filter(
    (one) => weightKeyOf(one) !== weightKeyOf(weight),
  );
  return { busy, loaded: type === "load" ? [...others, weight] : others };
};

const orderStep = (
  stage: number,
  { type, backEnd, weight }: EngineOrder,
  expectedMs: number,
): PlanStep => ({
  stage,
  kind: type === "load" ? StepKind.Load : StepKind.Unload,
  backEnd,
  ...weight,
  detail: `${type} ${weightKeyOf(weight)} on ${backEnd}`,
  expectedMs,
});

const serveSteps = (
  stage: number,
  before: PlacementSnapshot,
  after: PlacementSnapshot,
): PlanStep[] => {
  const textOf = ({ version, adapter, backEnds }: Deployment) =>
    JSON.stringify([version, adapter, backEnds]);
  const old = new Map(
    servedDeployments(before.accepted).map((one) => [one.name, textOf(one)]),
  );
  return servedDeployments(after.accepted)
    .filter((one) => old.get(one.name) !== textOf(one))
    .map(({ name, model, version, backEnds }) => ({
      stage,
      kind: StepKind.Serve,
      deployment: name,
      model,
      version,
      detail: `serve ${name} with version ${version} on ${backEnds.join(", ") || "no back end"}`,
      expectedMs: 0,
    }));
};

const withServing = (
  snapshot: PlacementSnapshot,
  serving: readonly Deployment[],
): PlacementSnapshot => ({
  ...snapshot,
  accepted: { ...snapshot.accepted, serving },
});

interface StageResult {
  readonly snapshot: PlacementSnapshot;
  readonly steps: readonly PlanStep[];
  readonly expectedMs: number;
}

const simulateOrders = (
  snapshot: PlacementSnapshot,
  rates: PlanRates,
  stage: number,
): StageResult => {
  const observed = new Map(snapshot.observed);
  const steps: PlanStep[] = [];
  let fetchMs = 0;
  let drainMs = 0;
  for (const order of nextOrders(snapshot).orders) {
    const engine = observed.get(order.backEnd) ?? { loaded: [], busy: 0 };
    const isLoad = order.type === "load";
    const ms = isLoad
      ? loadMs(snapshot.accepted.intent, engine, order, rates)
      : rates.drainMs(order.backEnd);
    if (isLoad) fetchMs += ms;
    else drainMs = Math.max(drainMs, ms);
    steps.push(orderStep(stage, order, ms));
    observed.set(order.backEnd, applyOrder(engine, order));
  }
  const expectedMs = Math.max(fetchMs, drainMs);
  return { snapshot: { ...snapshot, observed }, steps, expectedMs };
};

const unservedDeployments = (
  snapshot: PlacementSnapshot,
): SimulatedPlan["unserved"] => {
  const { serving = [] } = snapshot.accepted;
  const blocked = nextOrders(snapshot).blocked;
  return serving.map((served) => {
    const wanted = snapshot.accepted.intent.deployments.find(
      ({ name }) => name === served.name,
    );
    const missing = wanted?.backEnds.filter(
      (name) => !snapshot.observed.has(name),
    );
    const blockedOrder = blocked.find(({ backEnd }) =>
      wanted?.backEnds.includes(backEnd),
    );
    const missingReport = `no report from ${missing?.join(", ") ?? "its back ends"}`;
    return {
      deployment: served.name,
      reason: blockedOrder?.reason ?? missingReport,
    };
  });
};

/** Simulates the execution of a target intent until no step is left. */
export const simulatePlan = (
  current: PlacementSnapshot,
  target: Intent,
  rates: PlanRates,
): SimulatedPlan => {
  const { revision } = current.accepted;
  const serving = initialServing(current, target);
  const accepted = { revision: revision + 1, intent: target, serving };
  // Orders are simulated as if every old request had ended; the time for that is added by `drainMs`.
  let snapshot: PlacementSnapshot = {
    ...current,
    accepted,
    settledAt: current.at,
  };
  const steps: PlanStep[] = [];
  let expectedMs = 0;
  for (let stage = 0; stage < maxStageCount; stage += 1) {
    const served = withServing(snapshot, nextServing(snapshot));
    const result = simulateOrders(served, rates, stage);
    const stageSteps = [
      ...serveSteps(stage, snapshot, served),
      ...result.steps,
    ];
    snapshot = result.snapshot;
    if (stageSteps.length === 0) break;
    steps.push(...stageSteps);
    expectedMs += result.expectedMs;
  }
  return { steps, expectedMs, unserved: unservedDeployments(snapshot) };
};
