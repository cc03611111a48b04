/** Client of model engines: streams over SSE. */

import { Agent, request, type buildConnector } from "undici";
import { abortSignalAt, type Timestamp } from "@cardamomglade/common";
import { validateLoadReport, type LoadReport } from "@cardamomglade/schema";
import { OpenStream } from "./openStream.js";
import type {
  AttachOrder,
  EngineStream,
  EngineStreamEvent,
  Engines,
  GenerationOrder,
} from "./types.js";

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
    const start = { type: "generate" as const, order };
    return OpenStream.create({ agent: this.agent, url, start, onEvent });
  }

  attach(
    url: string,
    order: AttachOrder,
    onEvent: (event: EngineStreamEvent) => void,
  ): EngineStream {
    const start = { type: "attach" as const, order };
    return OpenStream.create({ agent: this.agent, url, start, onEvent });
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
    await this.agent.destroy();
  }
}
