/** Steps of a plan, found by running its execution on a simulated world. */

import {
  StepKind,
  type Deployment,
  type Intent,
  type PlanStep,
} from "@cardamomglade/schema";
import { servedDeployments } from "../config/index.js";
import { bytesOf, weightKey } from "../intent/index.js";
import { nextOrders } from "./nextOrders.js";
import { firstServing, nextServing } from "./nextServing.js";
import type {
  EngineObservation,
  EngineOrder,
  PlacementWorld,
} from "./types.js";

/** What the expected times come from. */
export interface PlanRates {
  readonly bytesPerSecond: number;
  /** Time for an engine's requests to end, by back end. */
  readonly drainMs: (backEnd: string) => number;
}

/** Steps of a plan and what is left undone at its end. */
export interface SimulatedPlan {
  readonly steps: readonly PlanStep[];
  readonly expectedMs: number;
  /** Deployments that never come to be served as wanted, with the reason. */
  readonly stuck: readonly { deployment: string; reason: string }[];
}

const msPerSecond = 1000;
const maxStages = 64;

const loadMs = (
  intent: Intent,
  { loaded }: EngineObservation,
  { weight }: EngineOrder,
  { bytesPerSecond }: PlanRates,
): number => {
  const added = bytesOf(intent, [...loaded, weight]) - bytesOf(intent, loaded);
  return (added / bytesPerSecond) * msPerSecond;
};

const applyOrder = (
  { loaded, busy }: EngineObservation,
  { type, weight }: EngineOrder,
): EngineObservation => {
  const others = loaded.filter((one) => weightKey(one) !== weightKey(weight));
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
  detail: `${type} ${weightKey(weight)} on ${backEnd}`,
  expectedMs,
});

const serveSteps = (
  stage: number,
  before: PlacementWorld,
  after: PlacementWorld,
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
  world: PlacementWorld,
  serving: readonly Deployment[],
): PlacementWorld => ({ ...world, accepted: { ...world.accepted, serving } });

interface Stage {
  readonly world: PlacementWorld;
  readonly steps: readonly PlanStep[];
  readonly expectedMs: number;
}

const runOrders = (
  world: PlacementWorld,
  rates: PlanRates,
  stage: number,
): Stage => {
  const observed = new Map(world.observed);
  const steps: PlanStep[] = [];
  let fetchMs = 0;
  let drainMs = 0;
  for (const order of nextOrders(world).orders) {
    const engine = observed.get(order.backEnd) ?? { loaded: [], busy: 0 };
    const isLoad = order.type === "load";
    const ms = isLoad
      ? loadMs(world.accepted.intent, engine, order, rates)
      : rates.drainMs(order.backEnd);
    if (isLoad) fetchMs += ms;
    else drainMs = Math.max(drainMs, ms);
    steps.push(orderStep(stage, order, ms));
    observed.set(order.backEnd, applyOrder(engine, order));
  }
  const expectedMs = Math.max(fetchMs, drainMs);
  return { world: { ...world, observed }, steps, expectedMs };
};

const stuckIn = (world: PlacementWorld): SimulatedPlan["stuck"] => {
  const { serving = [] } = world.accepted;
  const blocked = nextOrders(world).blocked;
  return serving.map((served) => {
    const wanted = world.accepted.intent.deployments.find(
      ({ name }) => name === served.name,
    );
    const missing = wanted?.backEnds.filter(
      (name) => !world.observed.has(name),
    );
    const cause = blocked.find(({ backEnd }) =>
      wanted?.backEnds.includes(backEnd),
    );
    const unreachable = `no report from ${missing?.join(", ") ?? "its back ends"}`;
    return { deployment: served.name, reason: cause?.reason ?? unreachable };
  });
};

/** Runs the execution of a target intent to its end on a simulated world. */
export const simulatePlan = (
  now: PlacementWorld,
  target: Intent,
  rates: PlanRates,
): SimulatedPlan => {
  const { revision } = now.accepted;
  const serving = firstServing(now, target);
  const accepted = { revision: revision + 1, intent: target, serving };
  // Orders are simulated as if every request had ended; its time is in `drainMs`.
  let world: PlacementWorld = { ...now, accepted, settledAt: now.at };
  const steps: PlanStep[] = [];
  let expectedMs = 0;
  for (let stage = 0; stage < maxStages; stage += 1) {
    const served = withServing(world, nextServing(world));
    const ran = runOrders(served, rates, stage);
    const done = [...serveSteps(stage, world, served), ...ran.steps];
    world = ran.world;
    if (done.length === 0) break;
    steps.push(...done);
    expectedMs += ran.expectedMs;
  }
  return { steps, expectedMs, stuck: stuckIn(world) };
};
