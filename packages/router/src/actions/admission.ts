/** Admission control: starts, queues or refuses a generation before an upstream is contacted. */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import {
  admit,
  endRequest,
  removeFromQueue,
  Refusal,
  refuseExpired,
  startNext,
  usageOf,
  type AdmissionRequest,
} from "@cardamomglade/decisions";
import { TimelineTopic, type Deployment } from "@cardamomglade/schema";
import { ErrorType, notRunError, type ApiError } from "../errors.js";
import type {
  GenerationRequest,
  RouterCommand,
  RouterEvent,
  RouterState,
  QueuedGeneration,
} from "../types.js";
import { capacityOf } from "./admissionCapacity.js";
import type { RouterStep } from "./types.js";

/** Function that starts an admitted generation. */
export type StartGeneration = (
  state: RouterState,
  waiting: QueuedGeneration,
  at: Timestamp,
) => RouterStep;

const admissionRequestOf = (
  state: RouterState,
  request: GenerationRequest,
  deployment: Deployment,
): AdmissionRequest => {
  const { requestId, customer, priority, maxTokens, prompt, deadline } =
    request;
  const weight = state.config.customers.get(customer)?.weight ?? 1;
  return {
    requestId,
    customer,
    deployment: deployment.name,
    priority,
    weight,
    tokens: maxTokens,
    sizeChars: prompt.length,
    deadline,
  };
};

const refusalMessages: Readonly<Record<Refusal, string>> = {
  [Refusal.Limit]: "the customer's limit is reached",
  [Refusal.Capacity]: "no back end has a free slot in time",
  [Refusal.QueueFull]: "the queue of waiting requests is full",
};

const refusalErrorOf = (refusal: Refusal, retryAfterS: number): ApiError => {
  const type =
    refusal === Refusal.Limit ? ErrorType.Overloaded : ErrorType.NoCapacity;
  return { ...notRunError(type, refusalMessages[refusal]), retryAfterS };
};

const refuse = (
  requestId: string,
  customer: string,
  refusal: Refusal,
  retryAfterS: number,
): RouterCommand[] => [
  {
    type: "failAnswer",
    requestId,
    error: refusalErrorOf(refusal, retryAfterS),
  },
  {
    type: "record",
    event: {
      topic: TimelineTopic.Limit,
      name: "refused",
      request: requestId,
      customer,
      detail: refusal,
    },
  },
];

/** Charges a started generation to the customer's limits. */
const chargeStart = (
  state: RouterState,
  { customer, maxTokens }: GenerationRequest,
): void => {
  const usage = usageOf(state.limits, customer);
  usage.inFlight += 1;
  usage.tokenBalance -= maxTokens;
  usage.periodTokens += maxTokens;
};

/** Queues or refuses a generation; returns undefined if it may start now. */
export const admitGeneration = (
  state: RouterState,
  { request, deployment }: QueuedGeneration,
  at: Timestamp,
): RouterStep | undefined => {
  const { requestId, customer, resumePoint } = request;
  // Part of the answer is already delivered, so it resumes ahead of all new requests.
  if (resumePoint !== undefined) {
    chargeStart(state, request);
    return undefined;
  }
  const admissionRequest = admissionRequestOf(state, request, deployment);
  const verdict = admit(
    state.admission,
    admissionRequest,
    capacityOf(state, at),
    at,
  );
  switch (verdict.type) {
    case "start":
      chargeStart(state, request);
      return undefined;
    case "wait":
      usageOf(state.limits, customer).waiting += 1;
      state.queuedGenerations.set(requestId, { request, deployment });
      return { state, commands: [] };
    case "refuse": {
      const { refusal, retryAfterS } = verdict;
      const commands = refuse(requestId, customer, refusal, retryAfterS);
      return { state, commands };
    }
    default:
      return assertNever(verdict);
  }
};

const dequeueWaiting = (
  state: RouterState,
  requestId: string,
): QueuedGeneration | undefined => {
  const waiting = state.queuedGenerations.get(requestId);
  if (waiting === undefined) return undefined;
  state.queuedGenerations.delete(requestId);
  usageOf(state.limits, waiting.request.customer).waiting -= 1;
  return waiting;
};

/** Frees the slot of an ended request and credits its unused tokens to the customer. */
const releaseRequest = (
  state: RouterState,
  requestId: string,
  usedTokens: number,
): boolean => {
  const admitted = endRequest(state.admission, requestId);
  if (admitted === undefined) return false;
  const usage = usageOf(state.limits, admitted.customer);
  usage.inFlight = Math.max(0, usage.inFlight - 1);
  usage.tokenBalance += Math.max(0, admitted.tokens - usedTokens);
  return true;
};

const releaseEndedRequests = (
  state: RouterState,
  commands: readonly RouterCommand[],
): boolean => {
  let hasEnded = false;
  for (const command of commands) {
    if (command.type === "finishAnswer")
      hasEnded =
        releaseRequest(state, command.requestId, command.completionTokens) ||
        hasEnded;
    if (command.type === "failAnswer")
      hasEnded = releaseRequest(state, command.requestId, Infinity) || hasEnded;
  }
  return hasEnded;
};

const abandonRequest = (state: RouterState, requestId: string): boolean => {
  if (removeFromQueue(state.admission, requestId))
    dequeueWaiting(state, requestId);
  return releaseRequest(state, requestId, Infinity);
};

const refuseLateRequests = (
  state: RouterState,
  at: Timestamp,
): RouterCommand[] =>
  refuseExpired(state.admission, capacityOf(state, at), at).flatMap(
    ({ requestId, refusal, retryAfterS }) => {
      const customer = dequeueWaiting(state, requestId)?.request.customer ?? "";
      return refuse(requestId, customer, refusal, retryAfterS);
    },
  );

const startQueuedRequests = (
  state: RouterState,
  at: Timestamp,
  start: StartGeneration,
): RouterStep => {
  let current = state;
  const commands: RouterCommand[] = [];
  for (;;) {
    if (current.admission.waiting === 0) return { state: current, commands };
    const next = startNext(current.admission, capacityOf(current, at));
    const waiting =
      next === undefined ? undefined : dequeueWaiting(current, next.requestId);
    if (waiting === undefined) return { state: current, commands };
    chargeStart(current, waiting.request);
    const step = start(current, waiting, at);
    current = step.state;
    commands.push(...step.commands);
  }
};

const canFreeCapacity = ({ type }: RouterEvent): boolean =>
  type === "timerTicked" || type === "loadRead";

/** Releases the requests that ended in a step, then starts queued requests that now fit. */
export const updateAdmission = (
  { state, commands }: RouterStep,
  event: RouterEvent,
  start: StartGeneration,
): RouterStep => {
  const { at } = event;
  let isFreed = releaseEndedRequests(state, commands);
  if (event.type === "callerDisconnected")
    isFreed = abandonRequest(state, event.requestId) || isFreed;
  if (state.admission.waiting === 0) return { state, commands };
  if (!isFreed && !canFreeCapacity(event)) return { state, commands };
  const refused =
    event.type === "timerTicked" ? refuseLateRequests(state, at) : [];
  const started = startQueuedRequests(state, at, start);
  releaseEndedRequests(started.state, started.commands);
  return {
    state: started.state,
    commands: [...commands, ...refused, ...started.commands],
  };
};
