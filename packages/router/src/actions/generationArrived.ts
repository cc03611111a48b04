/** Handles a caller's generation request. */

import {
  RequestExecuted,
  type Timestamp,
  type Transition,
} from "@cardamomglade/common";
import {
  attachStream,
  createStream,
  type RecoveryCommand,
  type StreamState,
} from "@cardamomglade/decisions";
import { TimelineTopic, type Deployment } from "@cardamomglade/schema";
import { ErrorType, type ApiError } from "../errors.js";
import type { GenerationRequest, RouterState, StreamEntry } from "../types.js";
import { admitGeneration, type StartGeneration } from "./admission.js";
import { detachStream, startStream } from "./stepStream.js";
import { tailOf } from "./stopSequences.js";
import type { EventHandler, RouterStep } from "./types.js";

const deploymentFor = (
  state: RouterState,
  { model, customer, resumePoint }: GenerationRequest,
): Deployment | undefined =>
  state.config.deploymentsByModel
    .get(model)
    ?.find(
      ({ name, customers }) =>
        customers.includes(customer) &&
        (resumePoint === undefined || resumePoint.deployment === name),
    );

const openStream = (
  state: RouterState,
  { requestId, deadline, resumePoint }: GenerationRequest,
  { recovery: policy }: Deployment,
  at: Timestamp,
): Transition<StreamState, RecoveryCommand> => {
  const options = { requestId, policy, deadline };
  if (resumePoint === undefined) {
    return createStream({ ...options, acceptedTokens: 0 });
  }
  const { offset, firstAttempt, prefix, backEnd } = resumePoint;
  const isPrefixUnknown = prefix === undefined;
  const resumeOptions = { ...options, acceptedTokens: offset, firstAttempt };
  return isPrefixUnknown || state.config.backEnds.has(backEnd)
    ? attachStream({ ...resumeOptions, isPrefixUnknown }, resumePoint, at)
    : createStream(resumeOptions);
};

// A resuming caller already holds tokens, so its generation has run.
const refuse = (
  state: RouterState,
  { requestId, resumePoint }: GenerationRequest,
  type: ErrorType,
  message: string,
): RouterStep => {
  const ran =
    resumePoint === undefined ? RequestExecuted.No : RequestExecuted.Yes;
  const error: ApiError = { type, message, ran };
  return { state, commands: [{ type: "failAnswer", requestId, error }] };
};

/** Starts a stream, queues the request, or refuses it before an upstream is contacted. */
export const generationArrived: EventHandler<"generationArrived"> = (
  state,
  { request, at },
) => {
  const { model, customer } = request;
  if (state.isDraining) {
    const message = "this router is draining";
    return refuse(state, request, ErrorType.Draining, message);
  }
  const deployment = deploymentFor(state, request);
  if (deployment === undefined) {
    const message = `model "${model}" does not serve customer "${customer}"`;
    return refuse(state, request, ErrorType.NotFound, message);
  }
  const generation = { request, deployment };
  const isResuming = request.resumePoint !== undefined;
  const refused = isResuming
    ? undefined
    : admitGeneration(state, generation, at);
  return refused ?? startGeneration(state, generation, at);
};

/** Starts the stream of an admitted generation. */
export const startGeneration: StartGeneration = (
  state,
  { request, deployment },
  at,
) => {
  const { requestId, customer } = request;
  const started = openStream(state, request, deployment, at);
  const entry: StreamEntry = {
    request,
    deployment,
    acceptedTokenIds: [...(request.resumePoint?.prefix ?? [])],
    openAttempts: new Map(),
    bufferedTokens: [],
    continuationBoundaries: new Map(),
    tail: tailOf(request, request.resumePoint?.text ?? ""),
    stream: started.state,
  };
  const replaced = state.streams.get(requestId);
  const freed =
    replaced === undefined
      ? { state, commands: [] }
      : detachStream(state, replaced, at);
  state.streams.set(requestId, entry);
  const step = startStream(freed.state, entry, at, started.commands);
  const arrived = {
    type: "record" as const,
    event: {
      topic: TimelineTopic.Request,
      name: request.resumePoint === undefined ? "arrived" : "returned",
      request: requestId,
      customer,
    },
  };
  return {
    state: step.state,
    commands: [...freed.commands, arrived, ...step.commands],
  };
};
