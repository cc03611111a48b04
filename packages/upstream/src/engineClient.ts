/** Client of model engines: streams over SSE. */

import { createParser, type EventSourceMessage } from "eventsource-parser";
import { Agent, request, type buildConnector, type Dispatcher } from "undici";
import { abortAt, now, type Moment } from "@cardamomglade/common";
import {
  validateEngineChunk,
  validateLoadReport,
  type LoadReport,
} from "@cardamomglade/schema";
import type {
  EngineStream,
  EngineStreamEvent,
  Engines,
  GenerationOrder,
  StreamBreak,
} from "./types.js";

const doneMarker = "[DONE]";
const cancelTimeoutMs = 2000;
const maxEventChars = 4 * 1024 * 1024;

const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

const bodyOf = (order: GenerationOrder): string =>
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
    stream: true,
  });

/** One stream being read; reports each event once and nothing after the last. */
class OpenStream implements EngineStream {
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
  private body: Dispatcher.ResponseData["body"] | undefined;
  private opened = false;
  private ended = false;

  private constructor(
    private readonly agent: Agent,
    private readonly url: string,
    private readonly order: GenerationOrder,
    private readonly onEvent: (event: EngineStreamEvent) => void,
  ) {}

  static create(
    agent: Agent,
    url: string,
    order: GenerationOrder,
    onEvent: (event: EngineStreamEvent) => void,
  ): OpenStream {
    const stream = new OpenStream(agent, url, order, onEvent);
    void stream.run();
    return stream;
  }

  pause(): void {
    this.body?.pause();
  }

  resume(): void {
    this.body?.resume();
  }

  cancel(): void {
    this.ended = true;
    this.abort.abort();
    const id = `${this.order.requestId}.${String(this.order.attempt)}`;
    const signal = abortAt(now() + cancelTimeoutMs);
    request(`${this.url}/v1/streams/${id}`, {
      method: "DELETE",
      dispatcher: this.agent,
      signal,
    })
      .then((res) => res.body.dump())
      .catch(() => undefined); // a dead engine has nothing to cancel
  }

  private async run(): Promise<void> {
    try {
      const res = await request(`${this.url}/v1/completions`, {
        method: "POST",
        body: bodyOf(this.order),
        headers: { "content-type": "application/json" },
        dispatcher: this.agent,
        signal: this.abort.signal,
      });
      if (res.statusCode !== 200) {
        await res.body.dump();
        this.fail({
          type: "refused",
          message: `engine answered ${String(res.statusCode)}`,
        });
        return;
      }
      this.body = res.body;
      res.body.on("data", (chunk: Uint8Array) => {
        if (this.ended) return;
        this.parser.feed(this.decoder.decode(chunk, { stream: true }));
      });
      res.body.on("end", () => {
        this.fail({ type: "connection", message: "stream ended early" });
      });
      res.body.on("error", (error) => {
        this.fail({ type: "connection", message: messageOf(error) });
      });
    } catch (error) {
      this.fail({ type: "connection", message: messageOf(error) });
    }
  }

  private hear(message: EventSourceMessage): void {
    if (this.ended || message.data === doneMarker) return;
    const chunk = parseJson(message.data);
    if (!validateEngineChunk(chunk)) {
      this.fail({
        type: "malformed",
        message: "engine sent a malformed chunk",
      });
      return;
    }
    if (!this.opened) {
      this.opened = true;
      this.onEvent({ type: "opened", version: chunk.version });
    }
    if (chunk.tokens.length > 0) {
      this.onEvent({
        type: "tokens",
        offset: chunk.offset,
        tokens: chunk.tokens,
      });
    }
    if (chunk.finish_reason === undefined) return;
    this.ended = true;
    const offset = chunk.offset + chunk.tokens.length;
    this.onEvent({ type: "finished", offset, reason: chunk.finish_reason });
  }

  private fail(cause: StreamBreak): void {
    if (this.ended) return;
    this.ended = true;
    this.abort.abort();
    this.onEvent({ type: "broken", cause });
  }
}

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/** Engines over HTTP; one client a process. */
export class EngineClient implements Engines {
  private readonly agent: Agent;

  private constructor(connect: buildConnector.connector) {
    this.agent = new Agent({
      connections: null,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect,
    });
  }

  /** A client; connects on first use. */
  static create(connector: buildConnector.connector): EngineClient {
    return new EngineClient(connector);
  }

  generate(
    url: string,
    order: GenerationOrder,
    onEvent: (event: EngineStreamEvent) => void,
  ): EngineStream {
    return OpenStream.create(this.agent, url, order, onEvent);
  }

  async readLoad(
    url: string,
    deadline: Moment,
  ): Promise<LoadReport | undefined> {
    try {
      const signal = abortAt(deadline);
      const res = await request(`${url}/load`, {
        dispatcher: this.agent,
        signal,
      });
      const report: unknown = await res.body.json();
      return validateLoadReport(report) ? report : undefined;
    } catch {
      return undefined;
    }
  }

  async isAlive(url: string, deadline: Moment): Promise<boolean> {
    try {
      const signal = abortAt(deadline);
      const dispatcher = this.agent;
      const res = await request(`${url}/health`, { dispatcher, signal });
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      return false;
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
