/** Streams a completion as an async iterator and resumes it on another router after a failure. */

import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { readStream, type ReceivedCompletion } from "./readStream.js";
import {
  CallerError,
  type AnswerChunk,
  type CallerFailure,
  type GenerateOptions,
} from "./types.js";

const connectTimeoutMs = 400;
const maxAttemptCount = 12;
const retryDelayMs = 50;
const retryableErrorTypes = ["draining", "prefixNeeded", "takenOver"];

const agent = new Agent({
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  connect: { timeout: connectTimeoutMs },
});

const noRouterFailure: CallerFailure = {
  type: "connection",
  message: "no router could continue the completion",
  ran: "unknown",
};

/** Yields every token of the completion exactly once and in order; throws a CallerError if it cannot be completed. */
export async function* generate(
  options: GenerateOptions,
): AsyncGenerator<AnswerChunk> {
  const received: ReceivedCompletion = {
    eventId: undefined,
    text: "",
    tokenIds: [],
  };
  let failure = noRouterFailure;
  for (let attempt = 0; attempt < maxAttemptCount; attempt += 1) {
    const router = options.routers[attempt % options.routers.length] ?? "";
    if (attempt > options.routers.length) await sleep(retryDelayMs * attempt);
    for await (const event of readStream(agent, router, options, received)) {
      if (event.type === "broken") break;
      if (event.type === "chunk") {
        yield event.chunk;
        if (event.chunk.finishReason !== undefined) return;
        continue;
      }
      ({ failure } = event);
      if (!retryableErrorTypes.includes(failure.type))
        throw CallerError.create(failure);
      break;
    }
  }
  throw CallerError.create(failure);
}
