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
import { canOpenAttempt } from "./retryBudget.js";
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
  ctx: StreamContext,
  avoid: readonly string[],
): BackEnd | undefined => {
  const { state, entry } = ctx;
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
  return chooseBackEnd(ctx.routing, query);
};

const assignBackEnd = (ctx: StreamContext, avoid: readonly string[]): void => {
  const { at } = ctx;
  const backEnd = chooseForStream(ctx, avoid);
  if (backEnd === undefined) {
    applyRecoveryEvent(ctx, { type: "noBackEnd", at });
    return;
  }
  if (!canOpenAttempt(ctx.state, ctx.entry, backEnd.name)) {
    applyRecoveryEvent(ctx, { type: "noBackEnd", at, isRateLimited: true });
    return;
  }
  applyRecoveryEvent(ctx, {
    type: "backEndAssigned",
    at,
    backEnd: backEnd.name,
  });
};

const openAttempt = (
  ctx: StreamContext,
  { attempt, from, backEnd: name }: CommandOf<"openAttempt">,
): void => {
  const { state, entry, at } = ctx;
  const { request, deployment } = entry;
  const backEnd = state.config.backEnds.get(name);
  if (backEnd === undefined) {
    const failure = AttemptFailure.Refused;
    applyRecoveryEvent(ctx, {
      type: "attemptFailed",
      at,
      attempt,
      failure,
    });
    return;
  }
  countAttempt(ctx, attempt, name);
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
    prefix: entry.acceptedTokenIds.slice(0, from),
  };
  ctx.commands.push(
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
  ctx: StreamContext,
  { attempt, from: offset, backEnd: name }: CommandOf<"attachAttempt">,
): void => {
  const { state, entry, at } = ctx;
  const url = state.config.backEnds.get(name)?.url;
  if (url === undefined) {
    const failure = AttemptFailure.Refused;
    applyRecoveryEvent(ctx, {
      type: "attemptFailed",
      at,
      attempt,
      failure,
    });
    return;
  }
  countAttempt(ctx, attempt, name);
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
  ctx.commands.push(
    { type: "attachAttempt", url, order },
    { type: "record", event },
  );
};

const deliver = (
  ctx: StreamContext,
  attempt: number,
  offset: number,
  tokens: readonly EngineToken[],
): void => {
  const { entry } = ctx;
  const { acceptedTokenIds, request, deployment, openAttempts } = entry;
  for (const token of tokens) acceptedTokenIds.push(token.id);
  if (request.stop.length > 0) {
    const text = tokens.map((token) => token.text).join("");
    entry.tail = tailOf(request, entry.tail + text);
  }
  const { requestId } = request;
  const { name, version } = deployment;
  const backEnd = openAttempts.get(attempt) ?? "";
  const source = { deployment: name, version, attempt, backEnd };
  ctx.commands.push({ type: "deliver", requestId, source, offset, tokens });
};

const deliverHeld = (
  ctx: StreamContext,
  { attempt, offset }: CommandOf<"deliverHeld">,
): void => {
  const { bufferedTokens } = ctx.entry;
  ctx.entry.bufferedTokens = [];
  deliver(ctx, attempt, offset, bufferedTokens);
};

const probe = (
  ctx: StreamContext,
  { attempt, backEnd, deadline }: CommandOf<"probeBackEnd">,
): void => {
  const { requestId } = ctx.entry.request;
  const url = ctx.state.config.backEnds.get(backEnd)?.url;
  if (url === undefined) return;
  ctx.commands.push({
    type: "probeBackEnd",
    requestId,
    attempt,
    url,
    deadline,
  });
};

const finish = (ctx: StreamContext, command: CommandOf<"finish">): void => {
  const { request, stream } = ctx.entry;
  ctx.commands.push({
    type: "finishAnswer",
    requestId: request.requestId,
    reason: command.reason,
    completionTokens: stream.acceptedTokens,
  });
};

const performCommand = (ctx: StreamContext, command: RecoveryCommand): void => {
  const { requestId } = ctx.entry.request;
  switch (command.type) {
    case "assignBackEnd":
      assignBackEnd(ctx, command.avoid);
      return;
    case "openAttempt":
      openAttempt(ctx, command);
      return;
    case "attachAttempt":
      attachAttempt(ctx, command);
      return;
    case "cancelAttempt": {
      const { attempt } = command;
      releaseAttempt(ctx, attempt);
      ctx.commands.push({ type: "cancelAttempt", requestId, attempt });
      return;
    }
    case "closeAttempt":
      releaseAttempt(ctx, command.attempt);
      return;
    case "probeBackEnd":
      probe(ctx, command);
      return;
    case "pauseAttempt":
    case "resumeAttempt":
      ctx.commands.push({ ...command, requestId });
      return;
    case "deliver":
      deliver(
        ctx,
        command.attempt,
        command.offset,
        ctx.tokens.slice(command.skipCount),
      );
      return;
    case "hold":
      ctx.entry.bufferedTokens.push(...ctx.tokens);
      return;
    case "dropHeld":
      ctx.entry.bufferedTokens = [];
      return;
    case "deliverHeld":
      deliverHeld(ctx, command);
      return;
    case "finish":
      finish(ctx, command);
      return;
    case "fail": {
      const error = streamError(ctx.entry.stream, command.failure);
      ctx.commands.push({ type: "failAnswer", requestId, error });
      return;
    }
    default:
      assertNever(command);
  }
};

const applyRecoveryEvent = (ctx: StreamContext, event: RecoveryEvent): void => {
  const step = decideRecovery(ctx.entry.stream, event);
  ctx.entry.stream = step.state;
  for (const command of step.commands) performCommand(ctx, command);
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
  const ctx = createStreamContext(state, entry, event.at, tokens);
  applyRecoveryEvent(ctx, event);
  return endStep(ctx);
};

/** Performs the initial commands of a new stream. */
export const startStream = (
  state: RouterState,
  entry: StreamEntry,
  at: number,
  commands: readonly RecoveryCommand[],
): RouterStep => {
  const ctx = createStreamContext(state, entry, at);
  for (const command of commands) performCommand(ctx, command);
  return endStep(ctx);
};

/** Detaches from the attempts of a stream that its caller resumes on another connection. */
export const detachStream = (
  state: RouterState,
  entry: StreamEntry,
  at: number,
): RouterStep => {
  const ctx = createStreamContext(state, entry, at);
  const { requestId } = entry.request;
  for (const attempt of [...entry.openAttempts.keys()]) {
    releaseAttempt(ctx, attempt);
    ctx.commands.push({ type: "detachAttempt", requestId, attempt });
  }
  state.streams.delete(requestId);
  return endStep(ctx);
};
