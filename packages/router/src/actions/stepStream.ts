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
import { mayAttempt } from "./retryBudget.js";
import { tailOf, watchBorder } from "./stopSequences.js";
import { count, createWork, release, type StreamWork } from "./streamWork.js";
import { streamError } from "./streamErrors.js";
import type { RouterStep } from "./types.js";

type CommandOf<T extends RecoveryCommand["type"]> = Extract<
  RecoveryCommand,
  { type: T }
>;

const choose = (
  work: StreamWork,
  avoid: readonly string[],
): BackEnd | undefined => {
  const { state, entry } = work;
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
  return chooseBackEnd(work.routing, query);
};

const assignBackEnd = (work: StreamWork, avoid: readonly string[]): void => {
  const { at } = work;
  const backEnd = choose(work, avoid);
  if (backEnd === undefined) {
    decide(work, { type: "noBackEnd", at });
    return;
  }
  if (!mayAttempt(work.state, work.entry, backEnd.name)) {
    decide(work, { type: "noBackEnd", at, isPaced: true });
    return;
  }
  decide(work, { type: "backEndAssigned", at, backEnd: backEnd.name });
};

const openAttempt = (
  work: StreamWork,
  { attempt, from, backEnd: name }: CommandOf<"openAttempt">,
): void => {
  const { state, entry, at } = work;
  const { request, deployment } = entry;
  const backEnd = state.config.backEnds.get(name);
  if (backEnd === undefined) {
    const failure = AttemptFailure.Refused;
    decide(work, { type: "attemptFailed", at, attempt, failure });
    return;
  }
  count(work, attempt, name);
  if (from > 0) watchBorder(entry, attempt);
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
  work.commands.push(
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
  work: StreamWork,
  { attempt, from: offset, backEnd: name }: CommandOf<"attachAttempt">,
): void => {
  const { state, entry, at } = work;
  const url = state.config.backEnds.get(name)?.url;
  if (url === undefined) {
    const failure = AttemptFailure.Refused;
    decide(work, { type: "attemptFailed", at, attempt, failure });
    return;
  }
  count(work, attempt, name);
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
  work.commands.push(
    { type: "attachAttempt", url, order },
    { type: "record", event },
  );
};

const deliver = (
  work: StreamWork,
  attempt: number,
  offset: number,
  tokens: readonly EngineToken[],
): void => {
  const { entry } = work;
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
  work.commands.push({ type: "deliver", requestId, source, offset, tokens });
};

const deliverHeld = (
  work: StreamWork,
  { attempt, offset }: CommandOf<"deliverHeld">,
): void => {
  const { held } = work.entry;
  work.entry.held = [];
  deliver(work, attempt, offset, held);
};

const probe = (
  work: StreamWork,
  { attempt, backEnd, deadline }: CommandOf<"probeBackEnd">,
): void => {
  const { requestId } = work.entry.request;
  const url = work.state.config.backEnds.get(backEnd)?.url;
  if (url === undefined) return;
  work.commands.push({
    type: "probeBackEnd",
    requestId,
    attempt,
    url,
    deadline,
  });
};

const finish = (work: StreamWork, command: CommandOf<"finish">): void => {
  const { request, stream } = work.entry;
  work.commands.push({
    type: "finishAnswer",
    requestId: request.requestId,
    reason: command.reason,
    completionTokens: stream.accepted,
  });
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
    case "attachAttempt":
      attachAttempt(work, command);
      return;
    case "cancelAttempt": {
      const { attempt } = command;
      release(work, attempt);
      work.commands.push({ type: "cancelAttempt", requestId, attempt });
      return;
    }
    case "closeAttempt":
      release(work, command.attempt);
      return;
    case "probeBackEnd":
      probe(work, command);
      return;
    case "pauseAttempt":
    case "resumeAttempt":
      work.commands.push({ ...command, requestId });
      return;
    case "deliver":
      deliver(
        work,
        command.attempt,
        command.offset,
        work.tokens.slice(command.skip),
      );
      return;
    case "hold":
      work.entry.held.push(...work.tokens);
      return;
    case "dropHeld":
      work.entry.held = [];
      return;
    case "deliverHeld":
      deliverHeld(work, command);
      return;
    case "finish":
      finish(work, command);
      return;
    case "fail": {
      const error = streamError(work.entry.stream, command.failure);
      work.commands.push({ type: "failAnswer", requestId, error });
      return;
    }
    default:
      assertNever(command);
  }
};

const decide = (work: StreamWork, event: RecoveryEvent): void => {
  const step = decideRecovery(work.entry.stream, event);
  work.entry.stream = step.state;
  for (const command of step.commands) perform(work, command);
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

const endWork = ({ state, entry, routing, commands }: StreamWork) => {
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
  const work = createWork(state, entry, event.at, tokens);
  decide(work, event);
  return endWork(work);
};

/** Performs the initial commands of a new stream. */
export const startStream = (
  state: RouterState,
  entry: StreamEntry,
  at: number,
  commands: readonly RecoveryCommand[],
): RouterStep => {
  const work = createWork(state, entry, at);
  for (const command of commands) perform(work, command);
  return endWork(work);
};

/** Detaches from the attempts of a stream that its caller resumes on another connection. */
export const dropStream = (
  state: RouterState,
  entry: StreamEntry,
  at: number,
): RouterStep => {
  const work = createWork(state, entry, at);
  const { requestId } = entry.request;
  for (const attempt of [...entry.open.keys()]) {
    release(work, attempt);
    work.commands.push({ type: "detachAttempt", requestId, attempt });
  }
  state.streams.delete(requestId);
  return endWork(work);
};
