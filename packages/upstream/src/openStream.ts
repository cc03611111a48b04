/** Reads one generation of an engine over SSE. */

import { randomUUID } from "node:crypto";
import { createParser, type EventSourceMessage } from "eventsource-parser";
import { request, type Agent, type Dispatcher } from "undici";
import { validateEngineChunk, type EngineChunk } from "@cardamomglade/schema";
import { cancelGeneration } from "./cancelGeneration.js";
import type {
  AttachParams,
  CancelOutcome,
  EngineStream,
  EngineStreamEvent,
  GenerationParams,
  StreamFailure,
} from "./types.js";

const maxEventChars = 4 * 1024 * 1024;

/** Whether to start a new generation or to attach to one that the engine already runs. */
export type StreamStart =
  | { readonly type: "generate"; readonly params: GenerationParams }
  | { readonly type: "attach"; readonly params: AttachParams };

/** Options of a stream. */
export interface OpenStreamOptions {
  readonly agent: Agent;
  readonly url: string;
  readonly start: StreamStart;
  readonly onEvent: (event: EngineStreamEvent) => void;
}

const doneMarker = "[DONE]";

const errorMessageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const completionBodyOf = (params: GenerationParams, reader: string): string =>
  JSON.stringify({
    request_id: params.requestId,
    attempt: params.attempt,
    model: params.model,
    version: params.version,
    adapter: params.adapter,
    prompt: params.prompt,
    max_tokens: params.maxTokens,
    stop: params.stop,
    priority: params.priority,
    continue_from: params.prefix,
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

/** A stream; it reports each event once and nothing after the last event. */
export class OpenStream implements EngineStream {
  private readonly abort = new AbortController();
  private readonly parser = createParser({
    maxBufferSize: maxEventChars,
    onEvent: (message) => {
      this.handleMessage(message);
    },
    onError: (error) => {
      if (error.type === "max-buffer-size-exceeded")
        this.fail({ type: "malformed", message: error.message });
    },
  });
  private readonly decoder = new TextDecoder();
  private readonly id: string;
  // The engine accepts a cancellation only from the reader that attached last.
  private readonly reader = randomUUID();
  private body: Dispatcher.ResponseData["body"] | undefined;
  private isPaused = false;
  private isEnded = false;

  private constructor(private readonly options: OpenStreamOptions) {
    const { requestId, attempt } = options.start.params;
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
    this.isEnded = true;
    this.abort.abort();
  }

  cancel(onOutcome: (outcome: CancelOutcome) => void = () => undefined): void {
    this.detach();
    const { agent, url } = this.options;
    const generation = {
      agent,
      url: `${url}/v1/streams/${this.id}`,
      reader: this.reader,
      hasBegun: this.body !== undefined,
    };
    void cancelGeneration(generation, onOutcome);
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
      this.fail({ type: "connection", message: errorMessageOf(error) });
    }
  }

  private send(): Promise<Dispatcher.ResponseData> {
    const { agent: dispatcher, url, start } = this.options;
    const { signal } = this.abort;
    if (start.type === "attach") {
      return request(`${url}/v1/streams/${this.id}`, {
        query: { offset: start.params.offset, reader: this.reader },
        dispatcher,
        signal,
      });
    }
    return request(`${url}/v1/completions`, {
      method: "POST",
      body: completionBodyOf(start.params, this.reader),
      headers: { "content-type": "application/json" },
      dispatcher,
      signal,
    });
  }

  private read(body: Dispatcher.ResponseData["body"]): void {
    this.body = body;
    body.on("data", (chunk: Uint8Array) => {
      if (this.isEnded) return;
      this.parser.feed(this.decoder.decode(chunk, { stream: true }));
    });
    body.on("end", () => {
      this.fail({
        type: "connection",
        message: "stream ended without a finish reason",
      });
    });
    body.on("error", (error) => {
      this.fail({ type: "connection", message: errorMessageOf(error) });
    });
    if (this.isPaused) body.pause();
  }

  private handleMessage(message: EventSourceMessage): void {
    if (this.isEnded || message.data === doneMarker) return;
    const chunk = parseJson(message.data);
    const failure = this.chunkFailureOf(chunk);
    if (failure !== undefined) {
      this.fail(failure);
      return;
    }
    this.emitChunk(chunk as EngineChunk);
  }

  private chunkFailureOf(chunk: unknown): StreamFailure | undefined {
    if (!validateEngineChunk(chunk)) {
      return { type: "malformed", message: "engine sent a malformed chunk" };
    }
    if (chunk.id !== this.id) {
      const message = `engine sent a chunk of stream "${chunk.id}"`;
      return { type: "malformed", message };
    }
    if (chunk.version !== this.options.start.params.version) {
      const message = `engine serves version "${chunk.version}"`;
      return { type: "wrongVersion", message };
    }
    return undefined;
  }

  private emitChunk(chunk: EngineChunk): void {
    const { onEvent } = this.options;
    const { offset, tokens, finish_reason: reason } = chunk;
    if (reason !== undefined) this.isEnded = true;
    if (tokens.length > 0) onEvent({ type: "tokens", offset, tokens });
    if (reason === undefined) return;
    onEvent({ type: "finished", offset: offset + tokens.length, reason });
  }

  private fail(cause: StreamFailure): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.abort.abort();
    this.options.onEvent({ type: "broken", cause });
  }
}
