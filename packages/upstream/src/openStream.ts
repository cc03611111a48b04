/** One stream of an engine being read over SSE. */

import { randomUUID } from "node:crypto";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import { request, type Agent, type Dispatcher } from "undici";
import { abortSignalAt, now } from "@cardamomglade/common";
import { validateEngineChunk, type EngineChunk } from "@cardamomglade/schema";
import type {
  AttachOrder,
  EngineStream,
  EngineStreamEvent,
  GenerationOrder,
  StreamBreak,
} from "./types.js";

const maxEventChars = 4 * 1024 * 1024;

/** How a stream begins: as a new generation, or as one that the engine runs already. */
export type StreamStart =
  | { readonly type: "generate"; readonly order: GenerationOrder }
  | { readonly type: "attach"; readonly order: AttachOrder };

/** What a stream needs. */
export interface OpenStreamOptions {
  readonly agent: Agent;
  readonly url: string;
  readonly start: StreamStart;
  readonly onEvent: (event: EngineStreamEvent) => void;
}

const doneMarker = "[DONE]";
const cancelTimeoutMs = 2000;

const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const bodyOf = (order: GenerationOrder, reader: string): string =>
  JSON.stringify({
    request_id: order.requestId,
    attempt: order.attempt,
    model: order.model,
    version: order.version,
    adapter: order.adapter,
    prompt: order.prompt,
    max_tokens: order.maxTokens,
    stop: order.stop,
    priority: order.priority,
    continue_from: order.prefix,
    reader,
    stream: true,
  });

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Reports each event once and nothing after the last. */
export class OpenStream implements EngineStream {
  private readonly abort = new AbortController();
  private readonly parser = createParser({
    maxBufferSize: maxEventChars,
    onEvent: (message) => {
      this.hear(message);
    },
    onError: (error) => {
      if (error.type === "max-buffer-size-exceeded")
        this.fail({ type: "malformed", message: error.message });
    },
  });
  private readonly decoder = new TextDecoder();
  private readonly id: string;
  // An engine cancels only for the newest reader of a stream.
  private readonly reader = randomUUID();
  private body: Dispatcher.ResponseData["body"] | undefined;
  private isPaused = false;
  private ended = false;

  private constructor(private readonly options: OpenStreamOptions) {
    const { requestId, attempt } = options.start.order;
    this.id = `${requestId}.${String(attempt)}`;
  }

  static create(options: OpenStreamOptions): OpenStream {
    const stream = new OpenStream(options);
    void stream.run();
    return stream;
  }

  pause(): void {
    this.isPaused = true;
    this.body?.pause();
  }

  resume(): void {
    this.isPaused = false;
    this.body?.resume();
  }

  detach(): void {
    this.ended = true;
    this.abort.abort();
  }

  cancel(): void {
    this.detach();
    request(`${this.options.url}/v1/streams/${this.id}`, {
      method: "DELETE",
      query: { reader: this.reader },
      dispatcher: this.options.agent,
      signal: abortSignalAt(now() + cancelTimeoutMs),
    })
      .then((res) => res.body.dump())
      .catch(() => undefined); // a dead engine has nothing to cancel
  }

  private async run(): Promise<void> {
    try {
      const res = await this.send();
      if (res.statusCode !== 200) {
        await res.body.dump();
        const message = `engine answered ${String(res.statusCode)}`;
        this.fail({ type: "refused", message });
        return;
      }
      this.read(res.body);
    } catch (error) {
      this.fail({ type: "connection", message: messageOf(error) });
    }
  }

  private send(): Promise<Dispatcher.ResponseData> {
    const { agent: dispatcher, url, start } = this.options;
    const { signal } = this.abort;
    if (start.type === "attach") {
      return request(`${url}/v1/streams/${this.id}`, {
        query: { offset: start.order.offset, reader: this.reader },
        dispatcher,
        signal,
      });
    }
    return request(`${url}/v1/completions`, {
      method: "POST",
      body: bodyOf(start.order, this.reader),
      headers: { "content-type": "application/json" },
      dispatcher,
      signal,
    });
  }

  private read(body: Dispatcher.ResponseData["body"]): void {
    this.body = body;
    body.on("data", (chunk: Uint8Array) => {
      if (this.ended) return;
      this.parser.feed(this.decoder.decode(chunk, { stream: true }));
    });
    body.on("end", () => {
      this.fail({ type: "connection", message: "stream ended early" });
    });
    body.on("error", (error) => {
      this.fail({ type: "connection", message: messageOf(error) });
    });
    if (this.isPaused) body.pause();
  }

  private hear(message: EventSourceMessage): void {
    if (this.ended || message.data === doneMarker) return;
    const chunk = parseJson(message.data);
    const fault = this.faultOf(chunk);
    if (fault !== undefined) {
      this.fail(fault);
      return;
    }
    this.report(chunk as EngineChunk);
  }

  private faultOf(chunk: unknown): StreamBreak | undefined {
    if (!validateEngineChunk(chunk)) {
      return { type: "malformed", message: "engine sent a malformed chunk" };
    }
    if (chunk.id !== this.id) {
      const message = `engine sent a chunk of stream "${chunk.id}"`;
      return { type: "malformed", message };
    }
    if (chunk.version !== this.options.start.order.version) {
      const message = `engine serves version "${chunk.version}"`;
      return { type: "wrongVersion", message };
    }
    return undefined;
  }

  private report(chunk: EngineChunk): void {
    const { onEvent } = this.options;
    const { offset, tokens, finish_reason: reason } = chunk;
    if (reason !== undefined) this.ended = true;
    if (tokens.length > 0) onEvent({ type: "tokens", offset, tokens });
    if (reason === undefined) return;
    onEvent({ type: "finished", offset: offset + tokens.length, reason });
  }

  private fail(cause: StreamBreak): void {
    if (this.ended) return;
    this.ended = true;
    this.abort.abort();
    this.options.onEvent({ type: "broken", cause });
  }
}
