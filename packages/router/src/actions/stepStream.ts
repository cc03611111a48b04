/** Steps the recovery state machine of one stream and maps its commands to router commands. */

import { assertNever } from "@cardamomglade/common";
import {
  chooseBackEnd,
  decideRecovery,
  AttemptFailure,
  type RecoveryCommand,
  type RecoveryEvent,
} from "@cardamomglade/decisions";
import {
  TimelineTopic,
  type BackEnd,
  type EngineToken,
} from "@cardamomglade/schema";
import type { RouterState, StreamEntry } from "../types.js";
import { candidatesOf } from "./candidatesOf.js";
import { canOpenAttempt } from "./canOpenAttempt.js";
import { tailOf, trackBoundary } from "./stopSequences.js";
import {
  countAttempt,
  createStreamContext,
  releaseAttempt,
  type StreamContext,
} from "./streamContext.js";
import { streamError } from "./streamErrors.js";
import type { RouterStep } from "./types.js";

type CommandOf<T extends RecoveryCommand["type"]> = Extract<
  RecoveryCommand,
  { type: T }
>;

const chooseForStream = (
  context: StreamContext,
  avoid: readonly string[],
): BackEnd | undefined => {
  const { state, entry } = context;
  const candidates = candidatesOf(state.config, entry.deployment.backEnds);
  const { zone, region } = state.router;
  const { model, version, adapter } = entry.deployment;
  const loaded = {
    model,
    version,
    ...(adapter === undefined ? {} : { adapter }),
  };
  const { prompt } = entry.request;
  const query = { candidates, avoid, zone, region, prompt, loaded };
  return chooseBackEnd(context.routing, query);
};

const assignBackEnd = (
  context: StreamContext,
  avoid: readonly string[],
): void => {
  const { at } = context;
  const backEnd = chooseForStream(context, avoid);
  if (backEnd === undefined) {
    applyRecoveryEvent(context, { type: "noBackEnd", at });
    return;
  }
  if (!canOpenAttempt(context.state, context.entry, backEnd.name)) {
    applyRecoveryEvent(context, { type: "noBackEnd", at, isPaced: true });
    return;
  }
  applyRecoveryEvent(context, {
    type: "backEndAssigned",
    at,
    backEnd: backEnd.name,
  });
};

const openAttempt = (
  context: StreamContext,
  { attempt, from, backEnd: name }: CommandOf<"openAttempt">,
): void => {
  const { state, entry, at } = context;
  const { request, deployment } = entry;
  const backEnd = state.config.backEnds.get(name);
  if (backEnd === undefined) {
    const failure = AttemptFailure.Refused;
    applyRecoveryEvent(context, {
      type: "attemptFailed",
      at,
      attempt,
      failure,
    });
    return;
  }
  countAttempt(context, attempt, name);
  if (from > 0) trackBoundary(entry, attempt);
  const adapter =
    deployment.adapter === undefined ? {} : { adapter: deployment.adapter };
  const { requestId, prompt, maxTokens, stop, priority } = request;
  const { model, version } = deployment;
  const order = {
    requestId,
    attempt,
    model,
    version,
    ...adapter,
    prompt,
    maxTokens,
    stop,
    priority,
    prefix: entry.accepted.slice(0, from),
  };
  context.commands.push(
    { type: "openAttempt", url: backEnd.url, order },
    {
      type: "record",
      event: {
        topic: TimelineTopic.Attempt,
        name: from > 0 || attempt > 0 ? "resumed" : "opened",
        request: requestId,
        attempt,
        backEnd: name,
        offset: from,
      },
    },
  );
};

const attachAttempt = (
  context: StreamContext,
  { attempt, from: offset, backEnd: name }: CommandOf<"attachAttempt">,
): void => {
  const { state, entry, at } = context;
  const url = state.config.backEnds.get(name)?.url;
  if (url === undefined) {
    const failure = AttemptFailure.Refused;
    applyRecoveryEvent(context, {
      type: "attemptFailed",
      at,
      attempt,
      failure,
    });
    return;
  }
  countAttempt(context, attempt, name);
  const { requestId } = entry.request;
  const { version } = entry.deployment;
  const order = { requestId, attempt, version, offset };
  const event = {
    topic: TimelineTopic.Attempt,
    name: "attached",
    request: requestId,
    attempt,
    backEnd: name,
    offset,
  };
  context.commands.push(
    { type: "attachAttempt", url, order },
    { type: "record", event },
  );
};

const deliver = (
  context: StreamContext,
  attempt: number,
  offset: number,
  tokens: readonly EngineToken[],
): void => {
  const { entry } = context;
  const { accepted, request, deployment, open } = entry;
  for (const token of tokens) accepted.push(token.id);
  if (request.stop.length > 0) {
    const text = tokens.map((token) => token.text).join("");
    entry.tail = tailOf(request, entry.tail + text);
  }
  const { requestId } = request;
  const { name, version } = deployment;
  const backEnd = open.get(attempt) ?? "";
  const source = { deployment: name, version, attempt, backEnd };
  context.commands.push({ type: "deliver", requestId, source, offset, tokens });
};

const deliverHeld = (
  context: StreamContext,
  { attempt, offset }: CommandOf<"deliverHeld">,
): void => {
  const { held } = context.entry;
  context.entry.held = [];
  deliver(context, attempt, offset, held);
};

const probe = (
  context: StreamContext,
  { attempt, backEnd, deadline }: CommandOf<"probeBackEnd">,
): void => {
  const { requestId } = context.entry.request;
  const url = context.state.config.backEnds.get(backEnd)?.url;
  if (url === undefined) return;
  context.commands.push({
    type: "probeBackEnd",
    requestId,
    attempt,
    url,
    deadline,
  });
};

const finish = (context: StreamContext, command: CommandOf<"finish">): void => {
  const { request, stream } = context.entry;
  context.commands.push({
    type: "finishAnswer",
    requestId: request.requestId,
    reason: command.reason,
    completionTokens: stream.accepted,
  });
};

const performCommand = (
  context: StreamContext,
  command: RecoveryCommand,
): void => {
  const { requestId } = context.entry.request;
  switch (command.type) {
    case "assignBackEnd":
      assignBackEnd(context, command.avoid);
      return;
    case "openAttempt":
      openAttempt(context, command);
      return;
    case "attachAttempt":
      attachAttempt(context, command);
      return;
    case "cancelAttempt": {
      const { attempt } = command;
      releaseAttempt(context, attempt);
      context.commands.push({ type: "cancelAttempt", requestId, attempt });
      return;
    }
    case "closeAttempt":
      releaseAttempt(context, command.attempt);
      return;
    case "probeBackEnd":
      probe(context, command);
      return;
    case "pauseAttempt":
    case "resumeAttempt":
      context.commands.push({ ...command, requestId });
      return;
    case "deliver":
      deliver(
        context,
        command.attempt,
        command.offset,
        context.tokens.slice(command.skip),
      );
      return;
    case "hold":
      context.entry.held.push(...context.tokens);
      return;
    case "dropHeld":
      context.entry.held = [];
      return;
    case "deliverHeld":
      deliverHeld(context, command);
      return;
    case "finish":
      finish(context, command);
      return;
    case "fail": {
      const error = streamError(context.entry.stream, command.failure);
      context.commands.push({ type: "failAnswer", requestId, error });
      return;
    }
    default:
      assertNever(command);
  }
};

const applyRecoveryEvent = (
  context: StreamContext,
  event: RecoveryEvent,
): void => {
  const step = decideRecovery(context.entry.stream, event);
  context.entry.stream = step.state;
  for (const command of step.commands) performCommand(context, command);
};

const isOver = (entry: StreamEntry): boolean =>
  entry.stream.phase.type === "finished" ||
  entry.stream.phase.type === "failed";

/** Arguments of a stream step. */
export interface StreamStepOptions {
  readonly state: RouterState;
  readonly entry: StreamEntry;
  readonly event: RecoveryEvent;
  readonly tokens?: readonly EngineToken[];
}

const endStep = ({ state, entry, routing, commands }: StreamContext) => {
  if (isOver(entry)) state.streams.delete(entry.request.requestId);
  const next = routing === state.routing ? state : { ...state, routing };
  return { state: next, commands };
};

/** Applies a recovery event; removes the stream when it has ended. */
export const stepStream = ({
  state,
  entry,
  event,
  tokens,
}: StreamStepOptions): RouterStep => {
  const context = createStreamContext(state, entry, event.at, tokens);
  applyRecoveryEvent(context, event);
  return endStep(context);
};

/** Performs the initial commands of a new stream. */
export const startStream = (
  state: RouterState,
  entry: StreamEntry,
  at: number,
  commands: readonly RecoveryCommand[],
): RouterStep => {
  const context = createStreamContext(state, entry, at);
  for (const command of commands) performCommand(context, command);
  return endStep(context);
};

/** Detaches from the attempts of a stream that its caller resumes on another connection. */
export const detachStream = (
  state: RouterState,
  entry: StreamEntry,
  at: number,
): RouterStep => {
  const context = createStreamContext(state, entry, at);
  const { requestId } = entry.request;
  for (const attempt of [...entry.open.keys()]) {
    releaseAttempt(context, attempt);
    context.commands.push({ type: "detachAttempt", requestId, attempt });
  }
  state.streams.delete(requestId);
  return endStep(context);
};
