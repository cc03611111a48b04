/** Reads one completion stream from a router until it ends, breaks or times out. */

import { createParser } from "eventsource-parser";
import { request, type Agent } from "undici";
import type { AnswerChunk, CallerFailure, GenerateOptions } from "./types.js";

/** The part of a completion that has been received, over all connections. */
export interface ReceivedCompletion {
  eventId: string | undefined;
  text: string;
  readonly tokenIds: number[];
}

/** Event of one stream; `broken` comes last if the completion can be resumed on another router. */
export type StreamEvent =
  | { readonly type: "chunk"; readonly chunk: AnswerChunk }
  | { readonly type: "refused"; readonly failure: CallerFailure }
  | { readonly type: "broken" };

interface WireChunk {
  readonly choices?: readonly {
    readonly text?: string;
    readonly finish_reason?: string | null;
  }[];
  readonly token_ids?: readonly number[];
  readonly error?: CallerFailure;
}

// Routers send data or a heartbeat at least twice a second on a stream that has started.
const idleTimeoutMs = 1500;
const okStatus = 200;

const bodyOf = (
  options: GenerateOptions,
  received: ReceivedCompletion,
): string =>
  JSON.stringify({
    model: options.model,
    prompt: options.prompt,
    max_tokens: options.maxTokens,
    stop: options.stop ?? [],
    stream: true,
    ...(received.eventId === undefined
      ? {}
      : { prefix: received.text, prefix_token_ids: received.tokenIds }),
  });

const failureOf = (text: string): CallerFailure => {
  const parsed = JSON.parse(text) as WireChunk;
  const fallback = { type: "internal", message: text, ran: "unknown" };
  return parsed.error ?? fallback;
};

const parseEvent = (data: string): StreamEvent | undefined => {
  if (data === "[DONE]") return undefined;
  const {
    choices,
    error,
    token_ids: tokenIds = [],
  } = JSON.parse(data) as WireChunk;
  if (error !== undefined) return { type: "refused", failure: error };
  const choice = choices?.[0];
  const finishReason = choice?.finish_reason ?? undefined;
  const chunk = { text: choice?.text ?? "", tokenIds, finishReason };
  return { type: "chunk", chunk };
};

const appendChunk = (
  received: ReceivedCompletion,
  chunk: AnswerChunk,
  id: string | undefined,
) => {
  received.eventId = id ?? received.eventId;
  received.text += chunk.text;
  received.tokenIds.push(...chunk.tokenIds);
};

const openStream = (
  agent: Agent,
  router: string,
  options: GenerateOptions,
  received: ReceivedCompletion,
  signal: AbortSignal,
) =>
  request(`${router}/v1/completions`, {
    method: "POST",
    body: bodyOf(options, received),
    headers: {
      authorization: `Bearer ${options.key}`,
      "content-type": "application/json",
      ...(received.eventId === undefined
        ? {}
        : { "last-event-id": received.eventId }),
    },
    dispatcher: agent,
    signal,
  });

/** Reads a stream from one router; each chunk is added to `received` before it is yielded. */
export async function* readStream(
  agent: Agent,
  router: string,
  options: GenerateOptions,
  received: ReceivedCompletion,
): AsyncGenerator<StreamEvent> {
  const abort = new AbortController();
  const startIdleTimer = () =>
    setTimeout(() => {
      abort.abort();
    }, idleTimeoutMs);
  let timer = received.eventId === undefined ? undefined : startIdleTimer();
  const events: StreamEvent[] = [];
  const parser = createParser({
    onEvent: ({ data, id }) => {
      const event = parseEvent(data);
      if (event?.type === "chunk") appendChunk(received, event.chunk, id);
      if (event !== undefined) events.push(event);
    },
  });
  try {
    const res = await openStream(
      agent,
      router,
      options,
      received,
      abort.signal,
    );
    if (res.statusCode !== okStatus) {
      yield { type: "refused", failure: failureOf(await res.body.text()) };
      return;
    }
    const decoder = new TextDecoder();
    for await (const bytes of res.body) {
      clearTimeout(timer);
      timer = startIdleTimer();
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
