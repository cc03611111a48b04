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
import type { RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

const failures: Readonly<Record<StreamBreak["type"], AttemptFailure>> = {
  connection: AttemptFailure.Connection,
  refused: AttemptFailure.Refused,
  malformed: AttemptFailure.Malformed,
};

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
    const id = `${order.requestId}.${String(order.attempt)}`;
    const stream = engines.generate(url, order, (event) => {
      if (event.type === "finished" || event.type === "broken") open.delete(id);
      const routed = toRouterEvent(order, event);
      if (routed !== undefined) channel.push(routed);
    });
    open.set(id, stream);
  };

  return {
    events: channel.stream,
    perform: (command) => {
      if (command.type === "openAttempt")
        openAttempt(command.url, command.order);
      if (command.type !== "cancelAttempt") return;
      const id = `${command.requestId}.${String(command.attempt)}`;
      open.get(id)?.cancel();
      open.delete(id);
    },
    stop: () => engines.close(),
  };
};
