/** An answer as an async iterator that goes on at another router when one dies. */

import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import { readParts, type HeldAnswer } from "./readParts.js";
import {
  CallerError,
  type AnswerPart,
  type CallerFailure,
  type GenerateOptions,
} from "./types.js";

const connectTimeoutMs = 400;
const mostReturns = 12;
const returnDelayMs = 50;
const retriedTypes = ["draining", "prefixNeeded"];

const agent = new Agent({
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
  connect: { timeout: connectTimeoutMs },
});

const lost: CallerFailure = {
  type: "connection",
  message: "no router could take up the answer",
  ran: "unknown",
};

/** Every token of the answer once, in order; throws a CallerError where that cannot be had. */
export async function* generate(
  options: GenerateOptions,
): AsyncGenerator<AnswerPart> {
  const held: HeldAnswer = { eventId: undefined, text: "", tokenIds: [] };
  let failure = lost;
  for (let tries = 0; tries < mostReturns; tries += 1) {
    const router = options.routers[tries % options.routers.length] ?? "";
    if (tries > options.routers.length) await sleep(returnDelayMs * tries);
    for await (const event of readParts(agent, router, options, held)) {
      if (event.type === "broken") break;
      if (event.type === "part") {
        yield event.part;
        if (event.part.finishReason !== undefined) return;
        continue;
      }
      ({ failure } = event);
      if (!retriedTypes.includes(failure.type))
        throw CallerError.create(failure);
      break;
    }
  }
  throw CallerError.create(failure);
}
