/** Requests a streamed completion and records when its chunks arrive. */

import { createParser } from "eventsource-parser";
import { Agent, request } from "undici";

const agent = new Agent({
  connections: null,
  pipelining: 1,
  headersTimeout: 0,
  bodyTimeout: 0,
});

/** A completion request and the router to send it to. */
export interface CompletionOptions {
  readonly url: string;
  readonly key: string;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

/** A completion, as its caller received it. */
export interface ReadAnswer {
  readonly text: string;
  readonly isWhole: boolean;
  readonly error: string | undefined;
  readonly completionTokens: number;
  readonly lastEventId: string;
  /** Request id that the response states. */
  readonly requestId: string;
  /** Whether the request was run, if an error states it. */
  readonly ran: string | undefined;
  /** Arrival times of the chunks. */
  readonly chunkTimes: readonly number[];
  readonly sentAt: number;
}

interface Chunk {
  id?: string;
  choices?: { text: string }[];
  usage?: { completion_tokens: number };
  error?: { type: string; message: string; ran?: string };
}

/** Requests a streamed completion from a router and reads it to its end. */
export const readAnswer = async (
  options: CompletionOptions,
): Promise<ReadAnswer> => {
  const sentAt = performance.now();
  const chunkTimes: number[] = [];
  let text = "";
  let isWhole = false;
  let error: string | undefined;
  let completionTokens = 0;
  let lastEventId = "";
  let requestId = "";
  let ran: string | undefined;
  const parser = createParser({
    onEvent: ({ data, id }) => {
      if (id !== undefined) lastEventId = id;
      if (data === "[DONE]") {
        isWhole = true;
        return;
      }
      const chunk = JSON.parse(data) as Chunk;
      requestId = chunk.id ?? requestId;
      if (chunk.error !== undefined) {
        error = `${chunk.error.type}: ${chunk.error.message}`;
        ran = chunk.error.ran;
      }
      completionTokens = chunk.usage?.completion_tokens ?? completionTokens;
      text += chunk.choices?.[0]?.text ?? "";
      chunkTimes.push(performance.now());
    },
  });
  try {
    const res = await request(`${options.url}/v1/completions`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${options.key}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({
        model: options.model,
        prompt: options.prompt,
        max_tokens: options.maxTokens,
        stream: true,
      }),
      dispatcher: agent,
    });
    if (res.statusCode !== 200) {
      const body = await res.body.text();
      error = `${String(res.statusCode)}: ${body}`;
      ran = (JSON.parse(body) as Chunk).error?.ran;
    } else {
      const decoder = new TextDecoder();
      for await (const part of res.body)
        parser.feed(decoder.decode(part as Uint8Array, { stream: true }));
    }
  } catch (failure) {
    error = String(failure);
  }
  return {
    text,
    isWhole,
    error,
    completionTokens,
    lastEventId,
    requestId,
    ran,
    chunkTimes,
    sentAt,
  };
};
