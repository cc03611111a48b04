/** Client of plain services: one call, one try. */

import { abortSignalAt, now } from "@cardamomglade/common";
import { Agent, request, type buildConnector } from "undici";
import { CallMethod } from "@cardamomglade/schema";
import type { ServiceCall, ServiceOutcome, Services } from "./types.js";

const neverSentCodes = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

const outcomeOfError = (error: unknown): ServiceOutcome => {
  const message = error instanceof Error ? error.message : String(error);
  const code =
    error instanceof Error && "code" in error ? String(error.code) : "";
  return { type: neverSentCodes.has(code) ? "notSent" : "unknown", message };
};

/** Plain services over HTTP; one client a process. */
export class ServiceClient implements Services {
  private readonly agent: Agent;

  private constructor(connect: buildConnector.connector) {
    this.agent = new Agent({
      connections: 32,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect,
    });
  }

  /** A client; connects on first use. */
  static create(connector: buildConnector.connector): ServiceClient {
    return new ServiceClient(connector);
  }

  async call(url: string, call: ServiceCall): Promise<ServiceOutcome> {
    const remaining = call.deadline - now();
    if (remaining <= 0) return { type: "notSent", message: "deadline passed" };
    try {
      const res = await request(`${url}${call.path}`, {
        method: call.method,
        body: call.method === CallMethod.Get ? null : call.body,
        headers: {
          "content-type": call.contentType,
          "x-request-id": call.requestId,
        },
        dispatcher: this.agent,
        signal: abortSignalAt(call.deadline),
      });
      const body = await res.body.text();
      const contentType = String(
        res.headers["content-type"] ?? "application/json",
      );
      return { type: "answered", status: res.statusCode, contentType, body };
    } catch (error) {
      return outcomeOfError(error);
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
