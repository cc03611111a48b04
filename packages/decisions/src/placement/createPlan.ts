/** Creates a plan: differences, steps, expected times and requirements that cannot be met. */

import type { Timestamp } from "@cardamomglade/common";
import {
  BackEndType,
  StepKind,
  type BackEnd,
  type Intent,
  type Plan,
  type PlanStep,
  type Unmet,
} from "@cardamomglade/schema";
import { checkIntent, diffIntents, type WeightId } from "../intent/index.js";
import { simulatePlan, type PlanRates } from "./simulatePlan.js";
import type { PlacementSnapshot } from "./types.js";

/** Inputs of a plan. */
export interface PlanOptions {
  readonly snapshot: PlacementSnapshot;
  readonly target: Intent;
  readonly bytesPerSecond: number;
  /** Contents of the weight store; undefined where the store does not list them. */
  readonly stored?: readonly WeightId[];
}

/** A plan without its digest. */
export type PlanBody = Omit<Plan, "digest">;

/** Time for marking a host as leaving, before its requests are migrated. */
const leavingMarkMs = 3000;
/** Time to migrate one request from an engine. */
const migrationMsPerRequest = 50;
/** Expected time for the requests in flight on an engine to end. */
const expectedEngineDrainMs = 30_000;

const backEndsOn = (intent: Intent, host: string): BackEnd[] =>
  intent.backEnds.filter((backEnd) => backEnd.host === host);

const requestCountOn = (
  snapshot: PlacementSnapshot,
  { name }: BackEnd,
): number => snapshot.observed.get(name)?.busy ?? 0;

const maxCallDurationMs = (intent: Intent, { name }: BackEnd): number =>
  Math.max(
    0,
    ...intent.services
      .filter(({ backEnds }) => backEnds.includes(name))
      .map(({ timeoutMs }) => timeoutMs),
  );

/** Time to drain a host: marking it as leaving, then migrating requests and waiting for service calls. */
const hostDrainMs = (
  { target, snapshot }: PlanOptions,
  host: string,
): number => {
  const times = backEndsOn(target, host).map((backEnd) =>
    backEnd.type === BackEndType.Engine
      ? requestCountOn(snapshot, backEnd) * migrationMsPerRequest
      : maxCallDurationMs(target, backEnd),
  );
  return leavingMarkMs + Math.max(0, ...times);
};

const createLeaveSteps = (options: PlanOptions): PlanStep[] => {
  const { target, snapshot } = options;
  const leaving = new Set(
    snapshot.accepted.intent.leaving.map(({ host }) => host),
  );
  return target.leaving
    .filter(({ host }) => !leaving.has(host))
    .map(({ host, emptyBy }) => ({
      stage: 0,
      kind: StepKind.Leave,
      host,
      detail: `empty ${host} by ${emptyBy}`,
      expectedMs: hostDrainMs(options, host),
    }));
};

const checkLeavingDeadlines = (options: PlanOptions): Unmet[] =>
  options.target.leaving.flatMap(({ host, emptyBy }, index) => {
    const earliest: Timestamp =
      options.snapshot.at + hostDrainMs(options, host);
    if (earliest <= Date.parse(emptyBy)) return [];
    const pointer = `/leaving/${String(index)}/emptyBy`;
    return [
      {
        pointer,
        message: `host "${host}" cannot be drained by that time`,
        earliest,
      },
    ];
  });

const checkRemainingCapacity = ({ snapshot, target }: PlanOptions): Unmet[] => {
  const leaving = new Set(target.leaving.map(({ host }) => host));
  const engines = target.backEnds.filter(
    ({ type }) => type === BackEndType.Engine,
  );
  const sum = (list: number[]) => list.reduce((total, one) => total + one, 0);
  const displacedCount = sum(
    engines
      .filter(({ host }) => leaving.has(host))
      .map((engine) => requestCountOn(snapshot, engine)),
  );
  const freeSlotCount = sum(
    engines
      .filter(({ host }) => !leaving.has(host))
      .map((engine) =>
        Math.max(0, engine.slots - requestCountOn(snapshot, engine)),
      ),
  );
  return displacedCount <= freeSlotCount
    ? []
    : [
        {
          pointer: "/leaving",
          message:
            "engines on the remaining hosts have fewer free slots than requests in flight on the leaving hosts",
        },
      ];
};

const checkUnserved = (
  target: Intent,
  unserved: readonly { deployment: string; reason: string }[],
): Unmet[] =>
  unserved.map(({ deployment, reason }) => {
    const index = target.deployments.findIndex(
      ({ name }) => name === deployment,
    );
    const message = `deployment "${deployment}" cannot be served as requested: ${reason}`;
    return { pointer: `/deployments/${String(index)}`, message };
  });

/** Creates the plan for a target intent; has no side effects. */
export const createPlan = (options: PlanOptions): PlanBody => {
  const { snapshot, target, bytesPerSecond, stored } = options;
  const rates: PlanRates = {
    bytesPerSecond,
    drainMs: (backEnd) =>
      (snapshot.observed.get(backEnd)?.busy ?? 0) > 0
        ? expectedEngineDrainMs
        : 0,
  };
  const simulated = simulatePlan(snapshot, target, rates);
  const leavingSteps = createLeaveSteps(options);
  const maxHostDrainMs = Math.max(
    0,
    ...leavingSteps.map(({ expectedMs }) => expectedMs),
  );
  return {
    baseRevision: snapshot.accepted.revision,
    intent: target,
    differences: diffIntents(snapshot.accepted.intent, target),
    steps: [...leavingSteps, ...simulated.steps],
    expectedMs: Math.max(maxHostDrainMs, simulated.expectedMs),
    unmet: [
      ...checkIntent(target, stored),
      ...checkUnserved(target, simulated.unserved),
      ...checkLeavingDeadlines(options),
      ...checkRemainingCapacity(options),
    ],
  };
};
