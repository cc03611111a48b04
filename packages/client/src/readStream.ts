/** One connection to a router, read until it ends, breaks or falls silent. */

import { createParser } from "eventsource-parser";
import { request, type Agent } from "undici";
import type { AnswerPart, CallerFailure, GenerateOptions } from "./types.js";

/** What a caller holds of an answer. */
export interface HeldAnswer {
  eventId: string | undefined;
  text: string;
  readonly tokenIds: number[];
}

/** What one connection brings; `broken` is last where the answer goes on elsewhere. */
export type ReadEvent =
  | { readonly type: "part"; readonly part: AnswerPart }
  | { readonly type: "refused"; readonly failure: CallerFailure }
  | { readonly type: "broken" };

interface Chunk {
  readonly choices?: readonly {
    readonly text?: string;
    readonly finish_reason?: string | null;
  }[];
  readonly token_ids?: readonly number[];
  readonly error?: CallerFailure;
}

// Routers show life at least twice a second on a stream that has begun.
const silenceLimitMs = 1500;
const okStatus = 200;

const bodyOf = (options: GenerateOptions, held: HeldAnswer): string =>
  JSON.stringify({
    model: options.model,
    prompt: options.prompt,
    max_tokens: options.maxTokens,
    stop: options.stop ?? [],
    stream: true,
    ...(held.eventId === undefined
      ? {}
      : { prefix: held.text, prefix_token_ids: held.tokenIds }),
  });

const failureOf = (text: string): CallerFailure => {
  const parsed = JSON.parse(text) as Chunk;
  const unnamed = { type: "internal", message: text, ran: "unknown" };
  return parsed.error ?? unnamed;
};

const toEvent = (data: string): ReadEvent | undefined => {
  if (data === "[DONE]") return undefined;
  const {
    choices,
    error,
    token_ids: tokenIds = [],
  } = JSON.parse(data) as Chunk;
  if (error !== undefined) return { type: "refused", failure: error };
  const choice = choices?.[0];
  const finishReason = choice?.finish_reason ?? undefined;
  const part = { text: choice?.text ?? "", tokenIds, finishReason };
  return { type: "part", part };
};

const note = (held: HeldAnswer, part: AnswerPart, id: string | undefined) => {
  held.eventId = id ?? held.eventId;
  held.text += part.text;
  held.tokenIds.push(...part.tokenIds);
};

const open = (
  agent: Agent,
  router: string,
  options: GenerateOptions,
  held: HeldAnswer,
  signal: AbortSignal,
) =>
  request(`${router}/v1/completions`, {
    method: "POST",
    body: bodyOf(options, held),
    headers: {
      authorization: `Bearer ${options.key}`,
      "content-type": "application/json",
      ...(held.eventId === undefined ? {} : { "last-event-id": held.eventId }),
    },
    dispatcher: agent,
    signal,
  });

/** Reads from one router; parts are noted in `held` before they are given out. */
export async function* readParts(
  agent: Agent,
  router: string,
  options: GenerateOptions,
  held: HeldAnswer,
): AsyncGenerator<ReadEvent> {
  const abort = new AbortController();
  const watch = () =>
    setTimeout(() => {
      abort.abort();
    }, silenceLimitMs);
  let timer = held.eventId === undefined ? undefined : watch();
  const events: ReadEvent[] = [];
  const parser = createParser({
    onEvent: ({ data, id }) => {
      const event = toEvent(data);
      if (event?.type === "part") note(held, event.part, id);
      if (event !== undefined) events.push(event);
    },
  });
  try {
    const res = await open(agent, router, options, held, abort.signal);
    if (res.statusCode !== okStatus) {
      yield { type: "refused", failure: failureOf(await res.body.text()) };
      return;
    }
    const decoder = new TextDecoder();
    for await (const bytes of res.body) {
      clearTimeout(timer);
      timer = watch();
      parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
      yield* events.splice(0);
    }
  } catch {
    yield { type: "broken" };
    return;
  } finally {
    clearTimeout(timer);
    abort.abort();
  }
  yield { type: "broken" };
}
