/** A caller asked for a generation. */

import { createStream } from "@cardamomglade/decisions";
import { TimelineTopic, type Deployment } from "@cardamomglade/schema";
import { ErrorType, notRun, type ApiError } from "../errors.js";
import type { GenerationRequest, RouterState, StreamEntry } from "../types.js";
import { admitGeneration, type StartGeneration } from "./admission.js";
import { startStream } from "./stepStream.js";
import type { Action, RouterStep } from "./types.js";

const deploymentFor = (
  state: RouterState,
  request: GenerationRequest,
): Deployment | undefined =>
  state.config.deploymentsByModel
    .get(request.model)
    ?.find(({ customers }) => customers.includes(request.customer));

const refuse = (
  state: RouterState,
  requestId: string,
  error: ApiError,
): RouterStep => ({
  state,
  commands: [{ type: "failAnswer", requestId, error }],
});

/** Starts a stream, lets it wait, or refuses without touching an upstream. */
export const generationArrived: Action<"generationArrived"> = (
  state,
  { request, at },
) => {
  const { requestId, model, customer } = request;
  if (state.draining) {
    return refuse(
      state,
      requestId,
      notRun(ErrorType.Draining, "this router is draining"),
    );
  }
  const deployment = deploymentFor(state, request);
  if (deployment === undefined) {
    return refuse(
      state,
      requestId,
      notRun(
        ErrorType.NotFound,
        `model "${model}" does not serve customer "${customer}"`,
      ),
    );
  }
  const generation = { request, deployment };
  return (
    admitGeneration(state, generation, at) ??
    startGeneration(state, generation, at)
  );
};

/** Starts the stream of an admitted generation. */
export const startGeneration: StartGeneration = (
  state,
  { request, deployment },
  at,
) => {
  const { requestId, deadline, customer } = request;
  const started = createStream({
    requestId,
    policy: deployment.recovery,
    deadline,
    accepted: 0,
  });
  const entry: StreamEntry = {
    request,
    deployment,
    accepted: [],
    open: new Map(),
    held: [],
    stream: started.state,
  };
  state.streams.set(requestId, entry);
  const step = startStream(state, entry, at, started.commands);
  const arrived = {
    type: "record" as const,
    event: {
      topic: TimelineTopic.Request,
      name: "arrived",
      request: requestId,
      customer,
    },
  };
  return { state: step.state, commands: [arrived, ...step.commands] };
};
