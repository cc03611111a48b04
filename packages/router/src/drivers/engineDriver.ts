/** Opens and cancels attempts on engines. */

import { createChannel, now } from "@cardamomglade/common";
import { AttemptFailure } from "@cardamomglade/decisions";
import type {
  Engines,
  EngineStream,
  EngineStreamEvent,
  GenerationOrder,
  StreamBreak,
} from "@cardamomglade/upstream";
import type { RouterCommand, RouterCommandOf, RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

const failures: Readonly<Record<StreamBreak["type"], AttemptFailure>> = {
  connection: AttemptFailure.Connection,
  refused: AttemptFailure.Refused,
  malformed: AttemptFailure.Malformed,
};

interface AttemptId {
  readonly requestId: string;
  readonly attempt: number;
}

const idOf = ({ requestId, attempt }: AttemptId): string =>
  `${requestId}.${String(attempt)}`;

const toRouterEvent = (
  order: GenerationOrder,
  event: EngineStreamEvent,
): RouterEvent | undefined => {
  const { requestId, attempt } = order;
  const at = now();
  switch (event.type) {
    case "opened":
      return event.version === order.version
        ? undefined
        : {
            type: "attemptBroken",
            at,
            requestId,
            attempt,
            failure: AttemptFailure.WrongVersion,
          };
    case "tokens":
      return {
        type: "tokensReceived",
        at,
        requestId,
        attempt,
        offset: event.offset,
        tokens: event.tokens,
      };
    case "finished":
      return {
        type: "attemptEnded",
        at,
        requestId,
        attempt,
        offset: event.offset,
        reason: event.reason,
      };
    case "broken":
      return {
        type: "attemptBroken",
        at,
        requestId,
        attempt,
        failure: failures[event.cause.type],
      };
  }
};

/** Drives the engine client. */
export const createEngineDriver = (engines: Engines): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  const open = new Map<string, EngineStream>();

  const openAttempt = (url: string, order: GenerationOrder) => {
    const id = idOf(order);
    const stream = engines.generate(url, order, (event) => {
      if (event.type === "finished" || event.type === "broken") open.delete(id);
      const routed = toRouterEvent(order, event);
      if (routed !== undefined) channel.push(routed);
    });
    open.set(id, stream);
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
        openAttempt(command.url, command.order);
        return;
      case "cancelAttempt": {
        const id = idOf(command);
        open.get(id)?.cancel();
        open.delete(id);
        return;
      }
      case "pauseAttempt":
        open.get(idOf(command))?.pause();
        return;
      case "resumeAttempt":
        open.get(idOf(command))?.resume();
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
