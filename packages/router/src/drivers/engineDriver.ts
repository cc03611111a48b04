/** Opens, attaches, pauses and cancels attempts on engines. */

import { createChannel, now } from "@cardamomglade/common";
import { AttemptFailure } from "@cardamomglade/decisions";
import {
  CancelOutcome,
  type Engines,
  type EngineStream,
  type EngineStreamEvent,
  type StreamFailure,
} from "@cardamomglade/upstream";
import type { RouterCommand, RouterCommandOf, RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

const failureByBreakType: Readonly<
  Record<StreamFailure["type"], AttemptFailure>
> = {
  connection: AttemptFailure.Connection,
  refused: AttemptFailure.Refused,
  malformed: AttemptFailure.Malformed,
  wrongVersion: AttemptFailure.WrongVersion,
};

interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

const attemptKeyOf = ({ requestId, attempt }: AttemptId): string =>
  `${requestId}.${String(attempt)}`;

const toRouterEvent = (
  { requestId, attempt }: AttemptId,
  event: EngineStreamEvent,
): RouterEvent => {
  const at = now();
  switch (event.type) {
    case "tokens":
      return {
        type: "tokensArrived",
        at,
        requestId,
        attempt,
        offset: event.offset,
        tokens: event.tokens,
      };
    case "finished":
      return {
        type: "attemptFinished",
        at,
        requestId,
        attempt,
        offset: event.offset,
        reason: event.reason,
      };
    case "broken":
      return {
        type: "attemptFailed",
        at,
        requestId,
        attempt,
        failure: failureByBreakType[event.cause.type],
      };
  }
};

/** Whether the engine runs the generation no more; it may work on behind a broken connection. */
const hasEnded = (event: EngineStreamEvent): boolean =>
  event.type === "finished" ||
  (event.type === "broken" && event.cause.type === "refused");

/** Performs commands on attempts through the engine client. */
export const createEngineDriver = (engines: Engines): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  const openStreams = new Map<string, EngineStream>();

  const createListener = (order: AttemptId) => (event: EngineStreamEvent) => {
    if (hasEnded(event)) openStreams.delete(attemptKeyOf(order));
    channel.push(toRouterEvent(order, event));
  };

  const createCancelListener =
    ({ requestId, attempt }: AttemptId) =>
    (outcome: CancelOutcome) => {
      if (outcome === CancelOutcome.Unanswered) return;
      const type =
        outcome === CancelOutcome.TakenOver
          ? "attemptTakenOver"
          : "attemptReleased";
      channel.push({ type, at: now(), requestId, attempt });
    };

  const probe = async (command: RouterCommandOf<"probeBackEnd">) => {
    const { requestId, attempt, url, deadline } = command;
    const isAlive = await engines.isAlive(url, deadline);
    const at = now();
    channel.push({ type: "backEndProbed", at, requestId, attempt, isAlive });
  };

  const perform = (command: RouterCommand) => {
    switch (command.type) {
      case "openAttempt":
        openStreams.set(
          attemptKeyOf(command.order),
          engines.generate(
            command.url,
            command.order,
            createListener(command.order),
          ),
        );
        return;
      case "attachAttempt":
        openStreams.set(
          attemptKeyOf(command.order),
          engines.attach(
            command.url,
            command.order,
            createListener(command.order),
          ),
        );
        return;
      case "detachAttempt": {
        const id = attemptKeyOf(command);
        openStreams.get(id)?.detach();
        openStreams.delete(id);
        return;
      }
      case "cancelAttempt": {
        const id = attemptKeyOf(command);
        openStreams.get(id)?.cancel(createCancelListener(command));
        openStreams.delete(id);
        return;
      }
      case "pauseAttempt":
        openStreams.get(attemptKeyOf(command))?.pause();
        return;
      case "resumeAttempt":
        openStreams.get(attemptKeyOf(command))?.resume();
        return;
      case "probeBackEnd":
        void probe(command);
        return;
      default:
    }
  };

  return {
    events: channel.stream,
    perform,
    stop: () => engines.close(),
  };
};
