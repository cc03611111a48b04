/** Drives one stream's recovery and turns its commands into the router's. */

import { assertNever, Ran } from "@cardamomglade/common";
import {
  chooseBackEnd,
  countInFlight,
  decideRecovery,
  StreamFailure,
  type RecoveryCommand,
  type RecoveryEvent,
  type RoutingState,
} from "@cardamomglade/decisions";
import {
  TimelineTopic,
  type BackEnd,
  type EngineToken,
} from "@cardamomglade/schema";
import { ErrorType, type ApiError } from "../errors.js";
import type { RouterCommand, RouterState, StreamEntry } from "../types.js";
import { candidatesOf } from "./candidatesOf.js";
import type { RouterStep } from "./types.js";

/** Work of one step: the stream's entry, what arrived with the event, and what has come of it so far. */
interface StreamWork {
  readonly state: RouterState;
  readonly entry: StreamEntry;
  readonly at: number;
  readonly tokens: readonly EngineToken[];
  readonly commands: RouterCommand[];
  routing: RoutingState;
}

const choose = (
  work: StreamWork,
  avoid: readonly string[],
): BackEnd | undefined => {
  const { state, entry } = work;
  const candidates = candidatesOf(state.config, entry.deployment.backEnds);
  const { zone, region } = state.router;
  return chooseBackEnd(work.routing, {
    candidates,
    avoid,
    zone,
    region,
    prompt: entry.request.prompt,
  });
};

const assignBackEnd = (work: StreamWork, avoid: readonly string[]): void => {
  const { at } = work;
  const backEnd = choose(work, avoid);
  if (backEnd === undefined) {
    decide(work, { type: "noBackEnd", at });
    return;
  }
  decide(work, { type: "backEndAssigned", at, backEnd: backEnd.name });
};

const openAttempt = (
  work: StreamWork,
  command: Extract<RecoveryCommand, { type: "openAttempt" }>,
): void => {
  const { state, entry } = work;
  const { request, deployment } = entry;
  const backEnd = state.config.backEnds.get(command.backEnd);
  if (backEnd === undefined) return;
  work.routing = countInFlight(work.routing, backEnd.name, 1);
  const adapter =
    deployment.adapter === undefined ? {} : { adapter: deployment.adapter };
  const { requestId, prompt, maxTokens, stop, priority } = request;
  const { model, version } = deployment;
  const { attempt, from } = command;
  const prefix = entry.accepted.slice(0, from);
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
    prefix,
  };
  work.commands.push(
    { type: "openAttempt", url: backEnd.url, order },
    {
      type: "record",
      event: {
        topic: TimelineTopic.Attempt,
        name: from > 0 || attempt > 0 ? "resumed" : "opened",
        request: requestId,
        attempt,
        backEnd: backEnd.name,
        offset: from,
      },
    },
  );
};

const deliver = (
  work: StreamWork,
  command: Extract<RecoveryCommand, { type: "deliver" }>,
): void => {
  const { entry } = work;
  const tokens = work.tokens.slice(command.skip);
  for (const token of tokens) entry.accepted.push(token.id);
  const { requestId } = entry.request;
  work.commands.push({
    type: "deliver",
    requestId,
    attempt: command.attempt,
    offset: command.offset,
    tokens,
  });
};

const errorOf = (failure: StreamFailure): ApiError => {
  switch (failure) {
    case StreamFailure.DeadlineExceeded:
      return {
        type: ErrorType.DeadlineExceeded,
        message: "the answer was not complete by its deadline",
        ran: Ran.Unknown,
      };
    case StreamFailure.NoBackEnd:
      return {
        type: ErrorType.NoCapacity,
        message: "no back end serves the model",
        ran: Ran.Unknown,
      };
    default:
      return assertNever(failure);
  }
};

const release = (work: StreamWork, backEnd: string): void => {
  work.routing = countInFlight(work.routing, backEnd, -1);
};

const perform = (work: StreamWork, command: RecoveryCommand): void => {
  const { requestId } = work.entry.request;
  switch (command.type) {
    case "assignBackEnd":
      assignBackEnd(work, command.avoid);
      return;
    case "openAttempt":
      openAttempt(work, command);
      return;
    case "cancelAttempt":
      release(work, command.backEnd);
      work.commands.push({
        type: "cancelAttempt",
        requestId,
        attempt: command.attempt,
      });
      return;
    case "deliver":
      deliver(work, command);
      return;
    case "finish":
      work.commands.push({
        type: "finishAnswer",
        requestId,
        reason: command.reason,
        completionTokens: work.entry.accepted.length,
      });
      return;
    case "fail":
      work.commands.push({
        type: "failAnswer",
        requestId,
        error: errorOf(command.failure),
      });
      return;
    default:
      assertNever(command);
  }
};

const decide = (work: StreamWork, event: RecoveryEvent): void => {
  const before = work.entry.stream;
  const step = decideRecovery(before, event);
  work.entry.stream = step.state;
  if (before.phase.type === "running" && step.state.phase.type === "finished") {
    release(work, before.phase.current.backEnd);
  }
  for (const command of step.commands) perform(work, command);
};

const isOver = (entry: StreamEntry): boolean =>
  entry.stream.phase.type === "finished" ||
  entry.stream.phase.type === "failed";

/** What a step of a stream needs. */
export interface StreamStepOptions {
  readonly state: RouterState;
  readonly entry: StreamEntry;
  readonly event: RecoveryEvent;
  readonly tokens?: readonly EngineToken[];
}

/** Folds a recovery event; drops the stream when it is over. */
export const stepStream = ({
  state,
  entry,
  event,
  tokens = [],
}: StreamStepOptions): RouterStep => {
  const work: StreamWork = {
    state,
    entry,
    at: event.at,
    tokens,
    commands: [],
    routing: state.routing,
  };
  decide(work, event);
  if (isOver(entry)) state.streams.delete(entry.request.requestId);
  const next =
    work.routing === state.routing
      ? state
      : { ...state, routing: work.routing };
  return { state: next, commands: work.commands };
};

/** Performs the commands a new stream starts with. */
export const startStream = (
  state: RouterState,
  entry: StreamEntry,
  at: number,
  commands: readonly RecoveryCommand[],
): RouterStep => {
  const work: StreamWork = {
    state,
    entry,
    at,
    tokens: [],
    commands: [],
    routing: state.routing,
  };
  for (const command of commands) perform(work, command);
  return {
    state: { ...state, routing: work.routing },
    commands: work.commands,
  };
};
