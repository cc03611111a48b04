/** Admission: fair shares by weight, priority classes, a bounded queue with deadlines. */

import type { Moment } from "@cardamomglade/common";
import { Priority } from "@cardamomglade/schema";
import {
  Refusal,
  type Admission,
  type AdmissionRequest,
  type AdmissionState,
  type AdmittedRequest,
  type Capacity,
  type RefusedRequest,
  type WaitingLine,
  type WaitingRequest,
} from "./types.js";

/** Longest time in the queue, by class. */
const longestWaitMs: Readonly<Record<Priority, number>> = {
  [Priority.Interactive]: 600,
  [Priority.Standard]: 600,
  [Priority.Batch]: 5000,
};

/** Share of a class beside the others; no class starves. */
const classWeight: Readonly<Record<Priority, number>> = {
  [Priority.Interactive]: 16,
  [Priority.Standard]: 4,
  [Priority.Batch]: 1,
};

const mostWaiting = 2000;
const mostWaitingChars = 16 * 1024 * 1024;
const mostRetryAfterS = 30;

/** Nobody waits, nobody runs. */
export const createAdmission = (): AdmissionState => ({
  lines: new Map(),
  served: new Map(),
  running: new Map(),
  virtualTime: 0,
  waiting: 0,
  waitingChars: 0,
});

const lineKey = ({ customer, deployment }: AdmissionRequest): string =>
  `${customer}\n${deployment}`;

const shareWeight = ({ weight, priority }: AdmissionRequest): number =>
  Math.max(0.01, weight) * classWeight[priority];

const servedOf = (state: AdmissionState, customer: string): number =>
  Math.max(state.served.get(customer) ?? 0, state.virtualTime);

/** Counts a start: the customer's share is used up by the request's tokens. */
const start = (state: AdmissionState, request: AdmissionRequest): void => {
  const { requestId, customer, tokens } = request;
  const served = servedOf(state, customer);
  state.virtualTime = served;
  state.served.set(customer, served + tokens / shareWeight(request));
  state.running.set(requestId, { customer, tokens });
};

const retryAfterOf = (waitMs: number): number =>
  Math.min(mostRetryAfterS, Math.max(1, Math.ceil(waitMs / 1000)));

/** Share of the deployment's starts that falls to a request's customer. */
const shareAmongWaiting = (
  state: AdmissionState,
  request: AdmissionRequest,
): number => {
  const own = shareWeight(request);
  let sum = 0;
  for (const { deployment, customer, requests } of state.lines.values()) {
    const [first] = requests;
    if (deployment !== request.deployment || customer === request.customer)
      continue;
    if (first !== undefined) sum += shareWeight(first.request);
  }
  return own / (own + sum);
};

const expectedWaitMs = (
  state: AdmissionState,
  request: AdmissionRequest,
  capacity: Capacity,
): number => {
  const ahead = state.lines.get(lineKey(request))?.requests.length ?? 0;
  const rate =
    capacity.startsPerSecond(request.deployment) *
    shareAmongWaiting(state, request);
  return rate <= 0 ? Infinity : ((ahead + 1) / rate) * 1000;
};

const waitOf = (request: AdmissionRequest, at: Moment): number =>
  Math.min(longestWaitMs[request.priority], request.deadline - at);

const enqueue = (
  state: AdmissionState,
  request: AdmissionRequest,
  at: Moment,
): void => {
  const { customer, deployment } = request;
  const key = lineKey(request);
  const line = state.lines.get(key) ?? { customer, deployment, requests: [] };
  state.lines.set(key, line);
  const giveUpAt = at + waitOf(request, at);
  line.requests.push({ request, arrivedAt: at, giveUpAt });
  state.waiting += 1;
  state.waitingChars += request.chars;
};

/** Whether someone waits who is before this customer and could start. */
const isOvertaking = (
  state: AdmissionState,
  { deployment }: AdmissionRequest,
  capacity: Capacity,
): boolean => {
  for (const line of state.lines.values())
    if (line.deployment === deployment && capacity.isAllowed(line.customer))
      return true;
  return false;
};

/** Starts a request, lets it wait, or refuses it where waiting cannot help. */
export const admit = (
  state: AdmissionState,
  request: AdmissionRequest,
  capacity: Capacity,
  at: Moment,
): Admission => {
  const isAllowed = capacity.isAllowed(request.customer);
  const canStart =
    isAllowed &&
    capacity.hasRoom(request.deployment) &&
    !isOvertaking(state, request, capacity);
  if (canStart) {
    start(state, request);
    return { type: "start" };
  }
  const isFull =
    state.waiting >= mostWaiting ||
    state.waitingChars + request.chars > mostWaitingChars;
  const waitMs = expectedWaitMs(state, request, capacity);
  const isLate = waitMs > waitOf(request, at);
  if (!isFull && !isLate) {
    enqueue(state, request, at);
    return { type: "wait" };
  }
  const late = isAllowed ? Refusal.Capacity : Refusal.Limit;
  const refusal = isFull ? Refusal.QueueFull : late;
  return { type: "refuse", refusal, retryAfterS: retryAfterOf(waitMs) };
};

/** Starts a request that must not wait: a stream that a caller already has a part of. */
export const admitAtOnce = (
  state: AdmissionState,
  request: AdmissionRequest,
): void => {
  start(state, request);
};

const remove = (
  state: AdmissionState,
  key: string,
  line: WaitingLine,
  index: number,
): WaitingRequest | undefined => {
  const [removed] = line.requests.splice(index, 1);
  if (removed === undefined) return undefined;
  state.waiting -= 1;
  state.waitingChars -= removed.request.chars;
  if (line.requests.length === 0) state.lines.delete(key);
  return removed;
};

/** Key of the line whose customer had the least work for its weight and that can start. */
const nextLine = (
  state: AdmissionState,
  capacity: Capacity,
): string | undefined => {
  let best: string | undefined;
  let least = Infinity;
  for (const [key, { customer, deployment }] of state.lines) {
    const served = servedOf(state, customer);
    if (served >= least) continue;
    if (!capacity.isAllowed(customer) || !capacity.hasRoom(deployment))
      continue;
    best = key;
    least = served;
  }
  return best;
};

/** The next waiting request that can start, which counts as started. */
export const startNext = (
  state: AdmissionState,
  capacity: Capacity,
): AdmissionRequest | undefined => {
  const key = nextLine(state, capacity);
  const line = key === undefined ? undefined : state.lines.get(key);
  if (key === undefined || line === undefined) return undefined;
  const next = remove(state, key, line, 0);
  if (next === undefined) return undefined;
  start(state, next.request);
  return next.request;
};

/** Refuses whoever waited as long as it can. */
export const refuseLate = (
  state: AdmissionState,
  capacity: Capacity,
  at: Moment,
): RefusedRequest[] => {
  const refused: RefusedRequest[] = [];
  for (const [key, line] of state.lines) {
    while ((line.requests[0]?.giveUpAt ?? Infinity) <= at) {
      const late = remove(state, key, line, 0);
      if (late === undefined) break;
      const { requestId } = late.request;
      const waitMs = expectedWaitMs(state, late.request, capacity);
      const refusal = capacity.isAllowed(line.customer)
        ? Refusal.Capacity
        : Refusal.Limit;
      refused.push({ requestId, refusal, retryAfterS: retryAfterOf(waitMs) });
    }
  }
  return refused;
};

/** Forgets a waiting request whose caller left; false where it does not wait. */
export const leaveQueue = (
  state: AdmissionState,
  requestId: string,
): boolean => {
  for (const [key, line] of state.lines) {
    const index = line.requests.findIndex(
      ({ request }) => request.requestId === requestId,
    );
    if (index >= 0) return remove(state, key, line, index) !== undefined;
  }
  return false;
};

/** A request is over; what it was admitted with, or undefined where it did not run. */
export const endRequest = (
  state: AdmissionState,
  requestId: string,
): AdmittedRequest | undefined => {
  const admitted = state.running.get(requestId);
  state.running.delete(requestId);
  return admitted;
};
