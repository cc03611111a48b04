/** A plan: differences, steps, expected times and what cannot be met. */

import type { Moment } from "@cardamomglade/common";
import {
  BackEndType,
  StepKind,
  type BackEnd,
  type Intent,
  type Plan,
  type PlanStep,
  type Unmet,
} from "@cardamomglade/schema";
import { checkIntent, diffIntents, type WeightName } from "../intent/index.js";
import { simulatePlan, type PlanRates } from "./simulatePlan.js";
import type { PlacementWorld } from "./types.js";

/** What a plan is made from. */
export interface PlanOptions {
  readonly world: PlacementWorld;
  readonly target: Intent;
  readonly bytesPerSecond: number;
  /** What the weight store holds, where it tells. */
  readonly stored?: readonly WeightName[];
}

/** A plan without its digest. */
export type PlanBody = Omit<Plan, "digest">;

const markingMs = 3000;
const moveMs = 50;
const engineDrainMs = 30_000;

const backEndsOn = (intent: Intent, host: string): BackEnd[] =>
  intent.backEnds.filter((backEnd) => backEnd.host === host);

const busyOn = (world: PlacementWorld, { name }: BackEnd): number =>
  world.observed.get(name)?.busy ?? 0;

const longestCallMs = (intent: Intent, { name }: BackEnd): number =>
  Math.max(
    0,
    ...intent.services
      .filter(({ backEnds }) => backEnds.includes(name))
      .map(({ timeoutMs }) => timeoutMs),
  );

/** Time in which a host can be emptied: the mark, then moves and plain calls. */
const leaveMs = ({ target, world }: PlanOptions, host: string): number => {
  const times = backEndsOn(target, host).map((backEnd) =>
    backEnd.type === BackEndType.Engine
      ? busyOn(world, backEnd) * moveMs
      : longestCallMs(target, backEnd),
  );
  return markingMs + Math.max(0, ...times);
};

const leaveSteps = (options: PlanOptions): PlanStep[] => {
  const { target, world } = options;
  const leaving = new Set(
    world.accepted.intent.leaving.map(({ host }) => host),
  );
  return target.leaving
    .filter(({ host }) => !leaving.has(host))
    .map(({ host, emptyBy }) => ({
      stage: 0,
      kind: StepKind.Leave,
      host,
      detail: `empty ${host} by ${emptyBy}`,
      expectedMs: leaveMs(options, host),
    }));
};

const unmetLeaving = (options: PlanOptions): Unmet[] =>
  options.target.leaving.flatMap(({ host, emptyBy }, index) => {
    const earliest: Moment = options.world.at + leaveMs(options, host);
    if (earliest <= Date.parse(emptyBy)) return [];
    const pointer = `/leaving/${String(index)}/emptyBy`;
    return [
      { pointer, message: `host "${host}" cannot be empty by then`, earliest },
    ];
  });

const unmetCapacity = ({ world, target }: PlanOptions): Unmet[] => {
  const leaving = new Set(target.leaving.map(({ host }) => host));
  const engines = target.backEnds.filter(
    ({ type }) => type === BackEndType.Engine,
  );
  const sum = (list: number[]) => list.reduce((total, one) => total + one, 0);
  const moved = sum(
    engines
      .filter(({ host }) => leaving.has(host))
      .map((engine) => busyOn(world, engine)),
  );
  const free = sum(
    engines
      .filter(({ host }) => !leaving.has(host))
      .map((engine) => Math.max(0, engine.slots - busyOn(world, engine))),
  );
  return moved <= free
    ? []
    : [
        {
          pointer: "/leaving",
          message:
            "the staying engines have fewer free slots than requests run on leaving hosts",
        },
      ];
};

const unmetStuck = (
  target: Intent,
  stuck: readonly { deployment: string; reason: string }[],
): Unmet[] =>
  stuck.map(({ deployment, reason }) => {
    const index = target.deployments.findIndex(
      ({ name }) => name === deployment,
    );
    const message = `deployment "${deployment}" is not served as wanted: ${reason}`;
    return { pointer: `/deployments/${String(index)}`, message };
  });

/** Plans a target intent; changes nothing. */
export const createPlan = (options: PlanOptions): PlanBody => {
  const { world, target, bytesPerSecond, stored } = options;
  const rates: PlanRates = {
    bytesPerSecond,
    drainMs: (backEnd) =>
      (world.observed.get(backEnd)?.busy ?? 0) > 0 ? engineDrainMs : 0,
  };
  const simulated = simulatePlan(world, target, rates);
  const leaves = leaveSteps(options);
  const leaveLongestMs = Math.max(
    0,
    ...leaves.map(({ expectedMs }) => expectedMs),
  );
  return {
    baseRevision: world.accepted.revision,
    intent: target,
    differences: diffIntents(world.accepted.intent, target),
    steps: [...leaves, ...simulated.steps],
    expectedMs: Math.max(leaveLongestMs, simulated.expectedMs),
    unmet: [
      ...checkIntent(target, stored),
      ...unmetStuck(target, simulated.stuck),
      ...unmetLeaving(options),
      ...unmetCapacity(options),
    ],
  };
};
