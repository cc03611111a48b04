/** Client of plain HTTP services; each call is attempted once. */

import {
  abortSignalAt,
  ConnectionOutcome,
  now,
  probeConnection,
} from "@cardamomglade/common";
import { Agent, Pool, request, type buildConnector } from "undici";
import { CallMethod } from "@cardamomglade/schema";
import {
  createResetAwareClient,
  endsWithConnection,
} from "./resetAwareClient.js";
import type { ServiceCall, ServiceOutcome, Services } from "./types.js";

// With these errors no connection was established, so the call was not sent.
const connectFailureCodes = new Set([
  "ECONNREFUSED",
  "UND_ERR_CONNECT_TIMEOUT",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);

const outcomeOfError = (error: unknown): ServiceOutcome => {
  const message = error instanceof Error ? error.message : String(error);
  const code =
    error instanceof Error && "code" in error ? String(error.code) : "";
  return {
    type: connectFailureCodes.has(code) ? "notSent" : "unknown",
    message,
  };
};

const minFinalStatus = 200;
const maxStatus = 599;

/** Whether a final answer may have the status; undici takes 600 and 999 too. */
const isFinalStatus = (status: number): boolean =>
  status >= minFinalStatus && status <= maxStatus;

const probeTimeoutMs = 200; // a round trip between zones and a handshake

/** Whether no process listens any more: its host closed the connections in its place. */
const hasEnded = async (url: string): Promise<boolean> => {
  const { hostname: host, port, protocol } = new URL(url);
  const defaultPort = protocol === "https:" ? 443 : 80;
  const listener = { host, port: Number(port || defaultPort) };
  const outcome = await probeConnection(listener, probeTimeoutMs);
  return outcome === ConnectionOutcome.Refused;
};

/** Calls plain services over HTTP; one instance per process. */
export class ServiceClient implements Services {
  private readonly agent: Agent;

  private constructor(connect: buildConnector.connector) {
    const options = {
      connections: 32,
      // No connection is kept: a late copy of an answer would be taken for the next call's.
      pipelining: 0,
      headersTimeout: 0,
      bodyTimeout: 0,
    };
    this.agent = new Agent({
      factory: (origin) =>
        new Pool(origin, {
          ...options,
          factory: (host, clientOptions) =>
            createResetAwareClient(host, clientOptions, connect),
        }),
    });
  }

  /** Creates a client, which connects on first use. */
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
      if (!isFinalStatus(res.statusCode))
        return { type: "unknown", message: "the answer has no valid status" };
      if (
        endsWithConnection(res.statusCode, res.headers) &&
        (await hasEnded(url))
      )
        return { type: "unknown", message: "the service ended in its answer" };
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
