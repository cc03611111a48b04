/** Admission control: weighted fair queueing with priority classes and a bounded queue with deadlines. */

import type { Timestamp } from "@cardamomglade/common";
import { Priority } from "@cardamomglade/schema";
import {
  Refusal,
  type AdmissionDecision,
  type AdmissionRequest,
  type AdmissionState,
  type AdmittedRequest,
  type Capacity,
  type RefusedRequest,
  type RequestQueue,
  type QueuedRequest,
} from "./types.js";

/** Maximum time in the queue, by priority class. */
const maxQueueWaitMs: Readonly<Record<Priority, number>> = {
  [Priority.Interactive]: 600,
  [Priority.Standard]: 600,
  [Priority.Batch]: 5000,
};

/** Weight of each priority class; every class gets some share, so none starves. */
const priorityWeight: Readonly<Record<Priority, number>> = {
  [Priority.Interactive]: 16,
  [Priority.Standard]: 4,
  [Priority.Batch]: 1,
};

const maxQueuedCount = 2000;
const maxQueuedChars = 16 * 1024 * 1024;
const maxRetryAfterS = 30;

/** Creates empty admission state. */
export const createAdmission = (): AdmissionState => ({
  queues: new Map(),
  weightedTokens: new Map(),
  running: new Map(),
  virtualTime: 0,
  waiting: 0,
  queuedChars: 0,
});

const queueKeyOf = ({ customer, deployment }: AdmissionRequest): string =>
  `${customer}\n${deployment}`;

const effectiveWeightOf = ({ weight, priority }: AdmissionRequest): number =>
  Math.max(0.01, weight) * priorityWeight[priority];

const weightedTokensOf = (state: AdmissionState, customer: string): number =>
  Math.max(state.weightedTokens.get(customer) ?? 0, state.virtualTime);

/** Records the start of a request and charges its tokens to the customer's share. */
const startRequest = (
  state: AdmissionState,
  request: AdmissionRequest,
): void => {
  const { requestId, customer, tokens } = request;
  const served = weightedTokensOf(state, customer);
  state.virtualTime = served;
  state.weightedTokens.set(
    customer,
    served + tokens / effectiveWeightOf(request),
  );
  state.running.set(requestId, { customer, tokens });
};

const retryAfterSOf = (waitMs: number): number =>
  Math.min(maxRetryAfterS, Math.max(1, Math.ceil(waitMs / 1000)));

/** Share of the deployment's capacity that the request's customer gets among all queued customers. */
const shareAmongQueued = (
  state: AdmissionState,
  request: AdmissionRequest,
): number => {
  const own = effectiveWeightOf(request);
  let sum = 0;
  for (const { deployment, customer, requests } of state.queues.values()) {
    const [first] = requests;
    if (deployment !== request.deployment || customer === request.customer)
      continue;
    if (first !== undefined) sum += effectiveWeightOf(first.request);
  }
  return own / (own + sum);
};

const expectedWaitMs = (
  state: AdmissionState,
  request: AdmissionRequest,
  capacity: Capacity,
): number => {
  const ahead = state.queues.get(queueKeyOf(request))?.requests.length ?? 0;
  const rate =
    capacity.startsPerSecond(request.deployment) *
    shareAmongQueued(state, request);
  return rate <= 0 ? Infinity : ((ahead + 1) / rate) * 1000;
};

const maxWaitMsOf = (request: AdmissionRequest, at: Timestamp): number =>
  Math.min(maxQueueWaitMs[request.priority], request.deadline - at);

const enqueue = (
  state: AdmissionState,
  request: AdmissionRequest,
  at: Timestamp,
): void => {
  const { customer, deployment } = request;
  const key = queueKeyOf(request);
  const queue = state.queues.get(key) ?? { customer, deployment, requests: [] };
  state.queues.set(key, queue);
  const queueDeadline = at + maxWaitMsOf(request, at);
  queue.requests.push({ request, arrivedAt: at, queueDeadline });
  state.waiting += 1;
  state.queuedChars += request.sizeChars;
};

/** Whether starting this request at once would overtake a queued request of a customer below its limits. */
const wouldOvertake = (
  state: AdmissionState,
  { deployment }: AdmissionRequest,
  capacity: Capacity,
): boolean => {
  for (const queue of state.queues.values())
    if (
      queue.deployment === deployment &&
      capacity.isWithinLimits(queue.customer)
    )
      return true;
  return false;
};

/** Starts a request, queues it, or refuses it at once if it is not expected to start in time. */
export const admit = (
  state: AdmissionState,
  request: AdmissionRequest,
  capacity: Capacity,
  at: Timestamp,
): AdmissionDecision => {
  const isAllowed = capacity.isWithinLimits(request.customer);
  const canStart =
    isAllowed &&
    capacity.hasFreeSlot(request.deployment) &&
    !wouldOvertake(state, request, capacity);
  if (canStart) {
    startRequest(state, request);
    return { type: "start" };
  }
  const isFull =
    state.waiting >= maxQueuedCount ||
    state.queuedChars + request.sizeChars > maxQueuedChars;
  const waitMs = expectedWaitMs(state, request, capacity);
  const isLate = waitMs > maxWaitMsOf(request, at);
  if (!isFull && !isLate) {
    enqueue(state, request, at);
    return { type: "wait" };
  }
  const refusalIfNotFull = isAllowed ? Refusal.Capacity : Refusal.Limit;
  const refusal = isFull ? Refusal.QueueFull : refusalIfNotFull;
  return { type: "refuse", refusal, retryAfterS: retryAfterSOf(waitMs) };
};

/** Starts a request without queueing, for a stream of which the caller has already received a part. */
export const admitImmediately = (
  state: AdmissionState,
  request: AdmissionRequest,
): void => {
  startRequest(state, request);
};

const removeQueued = (
  state: AdmissionState,
  key: string,
  queue: RequestQueue,
  index: number,
): QueuedRequest | undefined => {
  const [removed] = queue.requests.splice(index, 1);
  if (removed === undefined) return undefined;
  state.waiting -= 1;
  state.queuedChars -= removed.request.sizeChars;
  if (queue.requests.length === 0) state.queues.delete(key);
  return removed;
};

/** Key of the queue that can start a request and whose customer has the fewest weighted tokens. */
const nextQueueKey = (
  state: AdmissionState,
  capacity: Capacity,
): string | undefined => {
  let bestKey: string | undefined;
  let leastTokens = Infinity;
  for (const [key, { customer, deployment }] of state.queues) {
    const served = weightedTokensOf(state, customer);
    if (served >= leastTokens) continue;
    if (!capacity.isWithinLimits(customer) || !capacity.hasFreeSlot(deployment))
      continue;
    bestKey = key;
    leastTokens = served;
  }
  return bestKey;
};

/** Starts the next queued request that can start, and returns it. */
export const startNext = (
  state: AdmissionState,
  capacity: Capacity,
): AdmissionRequest | undefined => {
  const key = nextQueueKey(state, capacity);
  const queue = key === undefined ? undefined : state.queues.get(key);
  if (key === undefined || queue === undefined) return undefined;
  const next = removeQueued(state, key, queue, 0);
  if (next === undefined) return undefined;
  startRequest(state, next.request);
  return next.request;
};

/** Refuses queued requests whose time in the queue has expired. */
export const refuseExpired = (
  state: AdmissionState,
  capacity: Capacity,
  at: Timestamp,
): RefusedRequest[] => {
  const refused: RefusedRequest[] = [];
  for (const [key, queue] of state.queues) {
    while ((queue.requests[0]?.queueDeadline ?? Infinity) <= at) {
      const late = removeQueued(state, key, queue, 0);
      if (late === undefined) break;
      const { requestId } = late.request;
      const waitMs = expectedWaitMs(state, late.request, capacity);
      const refusal = capacity.isWithinLimits(queue.customer)
        ? Refusal.Capacity
        : Refusal.Limit;
      refused.push({ requestId, refusal, retryAfterS: retryAfterSOf(waitMs) });
    }
  }
  return refused;
};

/** Removes a queued request whose caller has disconnected; returns false if it is not queued. */
export const removeFromQueue = (
  state: AdmissionState,
  requestId: string,
): boolean => {
  for (const [key, queue] of state.queues) {
    const index = queue.requests.findIndex(
      ({ request }) => request.requestId === requestId,
    );
    if (index >= 0) return removeQueued(state, key, queue, index) !== undefined;
  }
  return false;
};

/** Removes a finished request; returns its admission record, or undefined if it was not running. */
export const endRequest = (
  state: AdmissionState,
  requestId: string,
): AdmittedRequest | undefined => {
  const admitted = state.running.get(requestId);
  state.running.delete(requestId);
  return admitted;
};
