/** Execution of the accepted intent by the holder of the executor role. */

import {
  assertNever,
  canonicalText,
  type Moment,
  type Step,
} from "@cardamomglade/common";
import { StepKind } from "@cardamomglade/schema";
import type { HeldLease } from "../lease/index.js";
import { bytesOf, weightKey } from "../intent/index.js";
import type {
  ExecutionCommand,
  ExecutionContext,
  ExecutionEvent,
  ExecutionState,
  FailedOrder,
  GivenOrder,
} from "./executionTypes.js";
import { nextOrders } from "./nextOrders.js";
import { nextServing } from "./nextServing.js";
import type { EngineOrder, OrderChoice, PlacementWorld } from "./types.js";

type ExecutionStep = Step<ExecutionState, ExecutionCommand>;
type Observed = Extract<ExecutionEvent, { type: "observed" }>;

const observeEveryMs = 1000;
const settledObserveEveryMs = 30_000;
// Late orders of the term before are looked for this long.
const termWatchMs = 30_000;
const longestOrderMs = 5000;
const longestRequestMs = 1_800_000;
const loadGraceMs = 10_000;
const msPerSecond = 1000;
const retryBaseMs = 1000;
const retryMaxMs = 60_000;
const maxExponent = 10;

/** An executor that has done nothing. */
export const createExecution = (): ExecutionState => ({
  observeAt: 0,
  settledRevision: undefined,
  fencing: 0,
  termBeganAt: 0,
  fetchFreeAt: 0,
  given: new Map(),
  failed: new Map(),
  reported: "",
});

const keyOf = ({ type, backEnd, weight }: EngineOrder): string =>
  `${type} ${weightKey(weight)} ${backEnd}`;

// Exponential, without jitter: one executor sends all orders.
const retryAt = (at: Moment, failures: number): Moment =>
  at + Math.min(retryMaxMs, retryBaseMs * 2 ** Math.min(failures, maxExponent));

const fail = (
  state: ExecutionState,
  order: EngineOrder,
  at: Moment,
  reason: string,
): ExecutionState => {
  const key = keyOf(order);
  const failures = (state.failed.get(key)?.failures ?? 0) + 1;
  const failed: FailedOrder = {
    failures,
    retryAt: retryAt(at, failures),
    reason,
  };
  const given = new Map(state.given);
  given.delete(key);
  return { ...state, given, failed: new Map(state.failed).set(key, failed) };
};

const beginTerm = (
  state: ExecutionState,
  { at }: ExecutionContext,
  lease: HeldLease,
): ExecutionState =>
  lease.fencing === state.fencing
    ? state
    : { ...createExecution(), fencing: lease.fencing, termBeganAt: at };

// Forgets orders that are seen to be carried out or are no longer wanted; fails those that are overdue.
const settleGiven = (
  state: ExecutionState,
  choice: OrderChoice,
  at: Moment,
): ExecutionState => {
  const wanted = new Set(choice.orders.map(keyOf));
  const isWanted = ([key]: readonly [string, unknown]) => wanted.has(key);
  const given = new Map([...state.given].filter(isWanted));
  const failed = new Map([...state.failed].filter(isWanted));
  let next: ExecutionState = { ...state, given, failed };
  for (const { order, failsAt } of given.values())
    if (at >= failsAt)
      next = fail(next, order, at, "the engine does not report it as done");
  return next;
};

const fetchMs = (
  { accepted, observed }: PlacementWorld,
  { type, backEnd, weight }: EngineOrder,
  bytesPerSecond: number,
): number => {
  if (type === "unload") return 0;
  const { intent } = accepted;
  const loaded = observed.get(backEnd)?.loaded ?? [];
  const bytes = bytesOf(intent, [...loaded, weight]) - bytesOf(intent, loaded);
  return (bytes / bytesPerSecond) * msPerSecond;
};

// An engine that checks no fencing number may still get an order of the term before.
const isSettledTerm = (
  state: ExecutionState,
  { accepted }: PlacementWorld,
  { backEnd }: EngineOrder,
  at: Moment,
): boolean => {
  const found = accepted.intent.backEnds.find(({ name }) => name === backEnd);
  return (
    found?.checksFencing === true || at >= state.termBeganAt + longestOrderMs
  );
};

const giveOrders = (
  state: ExecutionState,
  world: PlacementWorld,
  { orders }: OrderChoice,
  lease: HeldLease,
  bytesPerSecond: number,
): ExecutionStep => {
  const { at } = world;
  const given = new Map<string, GivenOrder>(state.given);
  const commands: ExecutionCommand[] = [];
  let { fetchFreeAt } = state;
  for (const order of orders) {
    const key = keyOf(order);
    const isWaiting = at < (state.failed.get(key)?.retryAt ?? 0);
    if (given.has(key) || isWaiting) continue;
    if (!isSettledTerm(state, world, order, at)) continue;
    const ms = fetchMs(world, order, bytesPerSecond);
    if (ms > 0 && fetchFreeAt > at) continue;
    if (ms > 0) fetchFreeAt = at + ms;
    given.set(key, { order, failsAt: at + 2 * ms + loadGraceMs });
    const { fencing, heldUntil } = lease;
    const notAfter = Math.min(heldUntil, at + longestOrderMs);
    commands.push({ type: "sendOrder", order, fencing, notAfter });
  }
  return { state: { ...state, given, fetchFreeAt }, commands };
};

// Looks seldom at engines that need nothing, so that the cost stays small in a large fleet.
const settle = (
  state: ExecutionState,
  { at, accepted }: PlacementWorld,
  { orders, blocked }: OrderChoice,
): ExecutionState => {
  const isSettled =
    orders.length === 0 &&
    blocked.length === 0 &&
    at >= state.termBeganAt + termWatchMs;
  return isSettled
    ? {
        ...state,
        observeAt: at + settledObserveEveryMs,
        settledRevision: accepted.revision,
      }
    : state;
};

const report = (
  state: ExecutionState,
  { at, router, accepted }: ExecutionContext,
  { orders, blocked }: OrderChoice,
): ExecutionStep => {
  const steps = [
    ...orders.map((order) => {
      const failed = state.failed.get(keyOf(order));
      return { order, failures: failed?.failures ?? 0, reason: failed?.reason };
    }),
    ...blocked.map((order) => ({ order, failures: 0, reason: order.reason })),
  ].map(({ order, failures, reason }) => ({
    kind: order.type === "load" ? StepKind.Load : StepKind.Unload,
    backEnd: order.backEnd,
    detail: `${order.type} ${weightKey(order.weight)} on ${order.backEnd}`,
    failures,
    ...(reason === undefined ? {} : { reason }),
  }));
  const { fencing } = state;
  const { revision } = accepted;
  const reported = canonicalText({ fencing, revision, steps });
  if (reported === state.reported) return { state, commands: [] };
  const status = { router, fencing, revision, at, steps };
  return {
    state: { ...state, reported },
    commands: [{ type: "report", status }],
  };
};

const observed = (
  before: ExecutionState,
  context: ExecutionContext,
  lease: HeldLease,
  event: Observed,
): ExecutionStep => {
  const { at, accepted } = context;
  const settledAt = (accepted.change?.at ?? 0) + longestRequestMs;
  const world = { at, accepted, observed: event.observed, settledAt };
  const serving = nextServing(world);
  if (canonicalText(serving) !== canonicalText(accepted.serving ?? [])) {
    const { fencing, heldUntil: notAfter } = lease;
    const base = accepted;
    const command = { type: "commitServing" as const, base, serving };
    return { state: before, commands: [{ ...command, fencing, notAfter }] };
  }
  const choice = nextOrders(world);
  const known = settle(settleGiven(before, choice, at), world, choice);
  const gave = giveOrders(known, world, choice, lease, event.bytesPerSecond);
  const told = report(gave.state, context, choice);
  return { state: told.state, commands: [...gave.commands, ...told.commands] };
};

/** Folds one event; does nothing without the lease. */
export const decideExecution = (
  before: ExecutionState,
  context: ExecutionContext,
  event: ExecutionEvent,
): ExecutionStep => {
  const { at, lease, accepted } = context;
  if (lease === undefined || accepted.revision === 0)
    return { state: before, commands: [] };
  const state = beginTerm(before, context, lease);
  switch (event.type) {
    case "timePassed": {
      const { settledRevision } = state;
      const isChanged =
        settledRevision !== undefined && settledRevision !== accepted.revision;
      if (at < state.observeAt && !isChanged) return { state, commands: [] };
      const observeAt = at + observeEveryMs;
      return {
        state: { ...state, observeAt, settledRevision: undefined },
        commands: [{ type: "observe" }],
      };
    }
    case "observed":
      return observed(state, context, lease, event);
    case "orderAnswered":
      return event.reason === undefined
        ? { state, commands: [] }
        : { state: fail(state, event.order, at, event.reason), commands: [] };
    default:
      return assertNever(event);
  }
};
