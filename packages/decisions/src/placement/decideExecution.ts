/** State machine that executes the accepted intent; run by the holder of the executor role. */

import {
  assertNever,
  canonicalJson,
  type Timestamp,
  type Transition,
} from "@cardamomglade/common";
import { StepKind } from "@cardamomglade/schema";
import type { HeldLease } from "../lease/index.js";
import { totalBytesOf, weightKeyOf } from "../intent/index.js";
import type {
  ExecutionCommand,
  ExecutionContext,
  ExecutionEvent,
  ExecutionState,
  FailedOrder,
  PendingOrder,
} from "./executionTypes.js";
import { nextOrders } from "./nextOrders.js";
import { nextServing } from "./nextServing.js";
import type { EngineOrder, OrderChoice, PlacementSnapshot } from "./types.js";

type ExecutionStep = Transition<ExecutionState, ExecutionCommand>;
type Observed = Extract<ExecutionEvent, { type: "observed" }>;

const observeIntervalMs = 1000;
const convergedObserveIntervalMs = 30_000;
// For this long after a term starts, engines are observed often, to detect late orders of the previous term.
const lateOrderWatchMs = 30_000;
const maxOrderDurationMs = 5000;
const maxRequestDurationMs = 1_800_000;
const orderGraceMs = 10_000;
const msPerSecond = 1000;
const retryBaseMs = 1000;
const retryMaxMs = 60_000;
const maxBackoffExponent = 10;

/** Creates the initial state of the executor. */
export const createExecution = (): ExecutionState => ({
  observeAt: 0,
  convergedRevision: undefined,
  fencing: 0,
  termStartedAt: 0,
  nextFetchAt: 0,
  pendingOrders: new Map(),
  failedOrders: new Map(),
  reportText: "",
});

const orderKeyOf = ({ type, backEnd, weight }: EngineOrder): string =>
  `${type} ${weightKeyOf(weight)} ${backEnd}`;

// Exponential backoff without jitter, since a single executor sends all orders.
const retryAt = (at: Timestamp, failures: number): Timestamp =>
  at +
  Math.min(
    retryMaxMs,
    retryBaseMs * 2 ** Math.min(failures, maxBackoffExponent),
  );

const markOrderFailed = (
  state: ExecutionState,
  order: EngineOrder,
  at: Timestamp,
  reason: string,
): ExecutionState => {
  const key = orderKeyOf(order);
  const failures = (state.failedOrders.get(key)?.failures ?? 0) + 1;
  const failed: FailedOrder = {
    failures,
    retryAt: retryAt(at, failures),
    reason,
  };
  const pendingOrders = new Map(state.pendingOrders);
  pendingOrders.delete(key);
  return {
    ...state,
    pendingOrders,
    failedOrders: new Map(state.failedOrders).set(key, failed),
  };
};

const beginTerm = (
  state: ExecutionState,
  { at }: ExecutionContext,
  lease: HeldLease,
): ExecutionState =>
  lease.fencing === state.fencing
    ? state
    : { ...createExecution(), fencing: lease.fencing, termStartedAt: at };

// Removes orders that were carried out or are no longer required; marks overdue orders as failed.
const updatePendingOrders = (
  state: ExecutionState,
  choice: OrderChoice,
  at: Timestamp,
): ExecutionState => {
  const wanted = new Set(choice.orders.map(orderKeyOf));
  const isWanted = ([key]: readonly [string, unknown]) => wanted.has(key);
  const pendingOrders = new Map([...state.pendingOrders].filter(isWanted));
  const failedOrders = new Map([...state.failedOrders].filter(isWanted));
  let next: ExecutionState = {
    ...state,
    pendingOrders,
    failedOrders,
  };
  for (const { order, failsAt } of pendingOrders.values())
    if (at >= failsAt)
      next = markOrderFailed(
        next,
        order,
        at,
        "the engine did not report the order as completed in time",
      );
  return next;
};

const loadMsOf = (
  { accepted, observed }: PlacementSnapshot,
  { type, backEnd, weight }: EngineOrder,
  bytesPerSecond: number,
): number => {
  if (type === "unload") return 0;
  const { intent } = accepted;
  const loaded = observed.get(backEnd)?.loaded ?? [];
  const bytes =
    totalBytesOf(intent, [...loaded, weight]) - totalBytesOf(intent, loaded);
  return (bytes / bytesPerSecond) * msPerSecond;
};

// An engine that does not check fencing tokens may still receive an order of the previous term.
const canSendOrder = (
  state: ExecutionState,
  { accepted }: PlacementSnapshot,
  { backEnd }: EngineOrder,
  at: Timestamp,
): boolean => {
  const found = accepted.intent.backEnds.find(({ name }) => name === backEnd);
  return (
    found?.checksFencing === true ||
    at >= state.termStartedAt + maxOrderDurationMs
  );
};

const sendOrders = (
  state: ExecutionState,
  snapshot: PlacementSnapshot,
  { orders }: OrderChoice,
  lease: HeldLease,
  bytesPerSecond: number,
): ExecutionStep => {
  const { at } = snapshot;
  const pendingOrders = new Map<string, PendingOrder>(state.pendingOrders);
  const commands: ExecutionCommand[] = [];
  let { nextFetchAt } = state;
  for (const order of orders) {
    const key = orderKeyOf(order);
    const isBackingOff = at < (state.failedOrders.get(key)?.retryAt ?? 0);
    if (pendingOrders.has(key) || isBackingOff) continue;
    if (!canSendOrder(state, snapshot, order, at)) continue;
    const loadMs = loadMsOf(snapshot, order, bytesPerSecond);
    if (loadMs > 0 && nextFetchAt > at) continue;
    if (loadMs > 0) nextFetchAt = at + loadMs;
    pendingOrders.set(key, { order, failsAt: at + 2 * loadMs + orderGraceMs });
    const { fencing, heldUntil } = lease;
    const notAfter = Math.min(heldUntil, at + maxOrderDurationMs);
    commands.push({ type: "sendOrder", order, fencing, notAfter });
  }
  return {
    state: { ...state, pendingOrders, nextFetchAt },
    commands,
  };
};

// Observes engines less often once they match the intent, to limit the cost in a large fleet.
const delayObservationIfConverged = (
  state: ExecutionState,
  { at, accepted }: PlacementSnapshot,
  { orders, blocked }: OrderChoice,
): ExecutionState => {
  const isConverged =
    orders.length === 0 &&
    blocked.length === 0 &&
    at >= state.termStartedAt + lateOrderWatchMs;
  return isConverged
    ? {
        ...state,
        observeAt: at + convergedObserveIntervalMs,
        convergedRevision: accepted.revision,
      }
    : state;
};

const reportIfChanged = (
  state: ExecutionState,
  { at, router, accepted }: ExecutionContext,
  { orders, blocked }: OrderChoice,
): ExecutionStep => {
  const steps = [
    ...orders.map((order) => {
      const failed = state.failedOrders.get(orderKeyOf(order));
      return { order, failures: failed?.failures ?? 0, reason: failed?.reason };
    }),
    ...blocked.map((order) => ({ order, failures: 0, reason: order.reason })),
  ].map(({ order, failures, reason }) => ({
    kind: order.type === "load" ? StepKind.Load : StepKind.Unload,
    backEnd: order.backEnd,
    detail: `${order.type} ${weightKeyOf(order.weight)} on ${order.backEnd}`,
    failures,
    ...(reason === undefined ? {} : { reason }),
  }));
  const { fencing } = state;
  const { revision } = accepted;
  const reportText = canonicalJson({ fencing, revision, steps });
  if (reportText === state.reportText) return { state, commands: [] };
  const status = { router, fencing, revision, at, steps };
  return {
    state: { ...state, reportText },
    commands: [{ type: "report", status }],
  };
};

const handleObserved = (
  previous: ExecutionState,
  context: ExecutionContext,
  lease: HeldLease,
  event: Observed,
): ExecutionStep => {
  const { at, accepted } = context;
  const settledAt = (accepted.change?.at ?? 0) + maxRequestDurationMs;
  const snapshot = { at, accepted, observed: event.observed, settledAt };
  const serving = nextServing(snapshot);
  if (canonicalJson(serving) !== canonicalJson(accepted.serving ?? [])) {
    const { fencing, heldUntil: notAfter } = lease;
    const base = accepted;
    const command = { type: "commitServing" as const, base, serving };
    return { state: previous, commands: [{ ...command, fencing, notAfter }] };
  }
  const choice = nextOrders(snapshot);
  const pendingState = delayObservationIfConverged(
    updatePendingOrders(previous, choice, at),
    snapshot,
    choice,
  );
  const sentStep = sendOrders(
    pendingState,
    snapshot,
    choice,
    lease,
    event.bytesPerSecond,
  );
  const reportStep = reportIfChanged(sentStep.state, context, choice);
  return {
    state: reportStep.state,
    commands: [...sentStep.commands, ...reportStep.commands],
  };
};

/** Applies one event; does nothing without the lease. */
export const decideExecution = (
  previous: ExecutionState,
  context: ExecutionContext,
  event: ExecutionEvent,
): ExecutionStep => {
  const { at, lease, accepted } = context;
  if (lease === undefined || accepted.revision === 0)
    return { state: previous, commands: [] };
  const state = beginTerm(previous, context, lease);
  switch (event.type) {
    case "timerTicked": {
      const { convergedRevision } = state;
      const isChanged =
        convergedRevision !== undefined &&
        convergedRevision !== accepted.revision;
      if (at < state.observeAt && !isChanged) return { state, commands: [] };
      const observeAt = at + observeIntervalMs;
      return {
        state: { ...state, observeAt, convergedRevision: undefined },
        commands: [{ type: "observe" }],
      };
    }
    case "observed":
      return handleObserved(state, context, lease, event);
    case "orderAnswered":
      return event.reason === undefined
        ? { state, commands: [] }
        : {
            state: markOrderFailed(state, event.order, at, event.reason),
            commands: [],
          };
    default:
      return assertNever(event);
  }
};
