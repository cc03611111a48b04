/** Handles a new request: finds route, customer and deadline, and starts the first attempt. */

import type { CallerRequest, Customer, Route } from "../types.js";
import { random } from "./random.js";
import { unconfiguredRetryAfterRangeMs } from "./constants.js";
import {
  canEndInTime,
  expectedEndOf,
  startByOf,
} from "./plannedStop/expectedEnd.js";
import {
  drawRetryDelayMs,
  refuse,
  refuseNotExecuted,
  type RefusedRequest,
} from "./refusals.js";
import type { TimedRequest } from "./plannedStop/answerTimes.js";
import { stopTimesOf } from "./plannedStop/stopTimes.js";
import { findRoute, type RouteTable } from "./routeTable.js";
import { holdBack, startTrials } from "./quarantine/trials.js";
import { startTakenOver } from "./handover/startTakenOver.js";
import { copyOf, refusalOf, refuseHandover } from "./handover/takeOver.js";
import { noFruitlessAttempts } from "./resumption/types.js";
import { sendFirst } from "./placeRequest.js";
import { seekVersion } from "./versions/takeUps.js";
import { restorationContext } from "./storeUpdates.js";
import type { RelayCommand } from "./commands.js";
import type { RelayEventOf } from "./events.js";
import { noWait, type Exchange, type RelayState } from "./types.js";

const pathOf = ({ target }: CallerRequest): string => {
  const end = target.indexOf("?");
  return end === -1 ? target : target.slice(0, end);
};

const chooseService = (state: RelayState, { targets }: Route): string => {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random(state) * total;
  for (const { service, weight } of targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return targets.at(-1)?.service ?? "";
};

type Identity =
  | { readonly type: "known"; readonly customer: Customer | undefined }
  | { readonly type: "unknown" };

const identify = (
  { customerByKey }: RouteTable,
  route: Route,
  { key }: CallerRequest,
): Identity => {
  if (customerByKey === undefined)
    return { type: "known", customer: undefined };
  const customer = key === undefined ? undefined : customerByKey.get(key);
  if (customer !== undefined) return { type: "known", customer };
  return route.isAnonymousAllowed
    ? { type: "known", customer: undefined }
    : { type: "unknown" };
};

const createExchange = (
  state: RelayState,
  { key, request }: RelayEventOf<"requestArrived">,
  route: Route,
  service: string,
  customer: Customer | undefined,
): Exchange => ({
  key,
  request,
  route,
  service,
  customer: customer?.name,
  priority: customer?.priority ?? route.priority,
  readAt: state.at,
  startBy: startByOf(state, { route, service, request }),
  deadline: Math.min(
    request.arrivedAt + route.timeoutMs,
    request.callerDeadline ?? Infinity,
  ),
  attempt: undefined,
  fallback: undefined,
  slowAnswer: undefined,
  seekAt: 0,
  failedSeekCount: 0,
  attempts: request.handover?.attempts ?? 0,
  countedIds: new Set(),
  nextNumber: 0,
  triedIds: new Set(),
  handoverCount: 0,
  triedRouters: new Set(),
  offerDeadline: undefined,
  failedConnectionCount: 0,
  refusedAttempts: 0,
  fruitless: noFruitlessAttempts,
  endedEngineCount: 0,
  mayHaveExecuted: false,
  head: undefined,
  lastEventId: request.lastEventId ?? 0,
  wait: noWait,
  keptCopy: undefined,
  softwareVersion: request.handover?.softwareVersion,
  versionDeadline: undefined,
  roomSearch: undefined,
  copy: request.handover && copyOf(state, request.handover),
  failedResponse: undefined,
});

/** Refuses a request that could not end before this process does, and logs what was expected. */
const refuseBeforeStop = (
  state: RelayState,
  refused: RefusedRequest,
  timed: TimedRequest,
): RelayCommand[] => {
  const times = stopTimesOf(state, expectedEndOf(state, timed));
  const context = { ...refused.context, ...times, route: timed.route.name };
  return refuseNotExecuted(state, { ...refused, context });
};

/** Routes a request and sends it, or refuses it at once. */
export const requestArrived = (
  state: RelayState,
  event: RelayEventOf<"requestArrived">,
): RelayCommand[] => {
  const { key, request } = event;
  const { routes, config } = state;
  const refused = (reason: string): RefusedRequest => ({
    key,
    requestId: request.requestId,
    reason,
    context: {
      host: request.hostname,
      path: request.target,
      configVersion: config?.version,
      configAgeMs: config && Math.round(state.at - state.configAppliedAt),
      ...restorationContext(state),
    },
  });
  if (routes === undefined || !state.hasReplicas) {
    const retryDelayMs = drawRetryDelayMs(state, unconfiguredRetryAfterRangeMs);
    return refuse(
      refused("the configuration is not known yet"),
      503,
      retryDelayMs,
    );
  }
  const route = findRoute(routes, request.hostname, pathOf(request));
  if (route === undefined)
    return refuse(refused("no route for this host and path"), 404, undefined);
  const identity = identify(routes, route, request);
  if (identity.type === "unknown")
    return refuse(refused("the key is not known"), 401, undefined);
  const handoverRefusal = refusalOf(state, request, route);
  if (handoverRefusal !== undefined)
    return refuseHandover(
      state,
      refused("the request is not taken over"),
      handoverRefusal,
    );
  const service = request.handover?.service ?? chooseService(state, route);
  const timed = { route, service, request };
  if (!canEndInTime(state, timed)) {
    const reason = "this process stops before the answer could end";
    return refuseBeforeStop(state, refused(reason), timed);
  }
  const exchange = createExchange(
    state,
    event,
    route,
    service,
    identity.customer,
  );
  const refusal = holdBack(state, exchange);
  if (refusal !== undefined) return refusal;
  state.exchanges.set(key, exchange);
  return [
    ...startTrials(state, exchange),
    ...seekVersion(state, exchange),
    ...(request.handover === undefined
      ? sendFirst(state, exchange)
      : startTakenOver(state, exchange, request.handover)),
  ];
};
