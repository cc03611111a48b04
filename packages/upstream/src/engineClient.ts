/** Client of inference engines; generations are streamed over SSE. */

import { Agent, request, type buildConnector } from "undici";
import { abortSignalAt, type Timestamp } from "@cardamomglade/common";
import { validateLoadReport, type LoadReport } from "@cardamomglade/schema";
import { OpenStream } from "./openStream.js";
import type {
  AttachParams,
  EngineStream,
  EngineStreamEvent,
  Engines,
  GenerationParams,
} from "./types.js";

/** Calls engines over HTTP; one instance per process. */
export class EngineClient implements Engines {
  /** Keeps connections, for reports. */
  private readonly agent: Agent;
  /** Keeps none: a late copy of a refusal would be taken for the next stream's. */
  private readonly streamAgent: Agent;

  private constructor(connect: buildConnector.connector) {
    const options = {
      connections: null,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect,
    };
    this.agent = new Agent({ ...options, pipelining: 1 });
    this.streamAgent = new Agent({ ...options, pipelining: 0 });
  }

  /** Creates a client, which connects on first use. */
  static create(connector: buildConnector.connector): EngineClient {
    return new EngineClient(connector);
  }

  generate(
    url: string,
    params: GenerationParams,
    onEvent: (event: EngineStreamEvent) => void,
  ): EngineStream {
    const start = { type: "generate" as const, params };
    return OpenStream.create({ agent: this.streamAgent, url, start, onEvent });
  }

  attach(
    url: string,
    params: AttachParams,
    onEvent: (event: EngineStreamEvent) => void,
  ): EngineStream {
    const start = { type: "attach" as const, params };
    return OpenStream.create({ agent: this.streamAgent, url, start, onEvent });
  }

  async readLoad(
    url: string,
    deadline: Timestamp,
  ): Promise<LoadReport | undefined> {
    try {
      const signal = abortSignalAt(deadline);
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

  async isAlive(url: string, deadline: Timestamp): Promise<boolean> {
    try {
      const signal = abortSignalAt(deadline);
      const dispatcher = this.agent;
      const res = await request(`${url}/health`, { dispatcher, signal });
      await res.body.dump();
      return res.statusCode === 200;
    } catch {
      return false;
    }
  }

  async close(): Promise<void> {
    await Promise.all([this.agent.destroy(), this.streamAgent.destroy()]);
  }
}
