/** HTTP server for callers: reads requests and writes responses. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { createChannel, now } from "@cardamomglade/common";
import { Severity, type Log } from "@cardamomglade/observe";
import type { DecisionContext, RelayCommand } from "../decisions/commands.js";
import { isBodiless } from "../decisions/answerEnds/isBodiless.js";
import type { RelayEvent } from "../decisions/events.js";
import {
  BodyFraming,
  type ResponseHead,
  type BufferedResponse,
} from "../decisions/types.js";
import { Counter, Latency, type RelayMetrics } from "../metrics.js";
import {
  defaultLimits,
  type ReplicaProtocol,
  type RequestLimits,
  type Address,
} from "../types.js";
import { forwardableHeaders } from "./connectionHeaders.js";
import { OpenConnections } from "./openConnections.js";
import { readRequest, rewrittenHeaders } from "./readRequest.js";
import { refuseMalformed } from "./refuseMalformed.js";
import type { RelayDriver } from "./types.js";

/** Options of the server for callers. */
export interface FrontOptions {
  readonly listen: Address;
  readonly protocol: ReplicaProtocol;
  readonly metrics: RelayMetrics;
  readonly log: Log<DecisionContext>;
}

/**
 * Driver that stops in steps: while draining, responses close their
 * connections; idle connections are closed on request.
 */
export interface FrontDriver extends RelayDriver {
  /** Stops accepting connections, and closes those without a request in progress. */
  closeIdle(): void;
  /** Number of requests that are being read or whose response has not been sent whole. */
  openRequestCount(): number;
}

interface PendingResponse {
  readonly res: ServerResponse;
  readonly arrivedAt: number;
  hasEvents: boolean;
}

const connectionCheckIntervalMs = 500; // interval at which Node checks connections for overdue request heads
const maxUnreadBytes = 4 * 1024 * 1024; // buffered bytes of one response that its caller does not read
const framingHeaders: ReadonlySet<string> = new Set(["content-length"]);

/**
 * Lets the response end when its connection closes, as the replica's response
 * did: a content length added by the relay would mark a response as complete
 * that may be truncated.
 */
const endWithConnection = (res: ServerResponse): void => {
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
};

/** Creates the server for callers. */
export const createFrontDriver = (options: FrontOptions): FrontDriver => {
  const { protocol, metrics, log } = options;
  const channel = createChannel<RelayEvent>();
  const pendingResponses = new Map<string, PendingResponse>();
  const dropped = rewrittenHeaders(protocol.headers);
  let limits = defaultLimits; // until the configuration is known
  let isDraining = false;
  let lastKey = 0;

  const server = createServer({
    connectionsCheckingInterval: connectionCheckIntervalMs,
    requestTimeout: 0,
    noDelay: true,
    maxHeaderSize: defaultLimits.headerBytes,
  });

  const connections = OpenConnections.create(server);

  const applyLimits = (newLimits: RequestLimits) => {
    limits = newLimits;
    server.headersTimeout = limits.headerTimeoutMs;
    server.keepAliveTimeout = limits.idleTimeoutMs;
    // Node reads this for each new connection, but the type of the server does not declare it.
    Object.assign(server, { maxHeaderSize: limits.headerBytes });
  };
  applyLimits(defaultLimits);

  const writeRefusal = (
    res: ServerResponse,
    status: number,
    reason: string,
    retryAfterMs?: number,
  ) => {
    const body = JSON.stringify({ error: reason });
    if (isDraining) res.setHeader("connection", "close");
    if (retryAfterMs !== undefined)
      res.setHeader("retry-after", (retryAfterMs / 1000).toFixed(3));
    res.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    });
    res.end(body);
  };

  const recordRefusal = (
    status: number,
    reason: string,
    requestId?: string,
  ) => {
    metrics.count(Counter.Refusals);
    log(Severity.Info, "request refused unread", { requestId, status, reason });
  };
  refuseMalformed(server, recordRefusal);

  const rejectUnread = (res: ServerResponse, status: number, why: string) => {
    const id = res.req.headers[protocol.headers.requestId];
    recordRefusal(status, why, typeof id === "string" ? id : undefined);
    res.setHeader("connection", "close");
    writeRefusal(res, status, why);
  };

  const accept = (res: ServerResponse, key: string, arrivedAt: number) => {
    pendingResponses.set(key, { res, arrivedAt, hasEvents: false });
    res.on("close", () => {
      if (!pendingResponses.delete(key)) return;
      metrics.count(Counter.CallersDisconnected);
      channel.push({ type: "callerDisconnected", at: now(), key });
    });
  };

  const serve = async (req: IncomingMessage, res: ServerResponse) => {
    metrics.count(Counter.Requests);
    connections.add(res);
    const read = await readRequest(req, { protocol, limits, dropped });
    switch (read.type) {
      case "complete": {
        lastKey += 1;
        const key = String(lastKey);
        const { request } = read;
        accept(res, key, request.arrivedAt);
        channel.push({ type: "requestArrived", at: now(), key, request });
        return;
      }
      case "tooLarge":
        rejectUnread(res, 413, "the body is too long");
        return;
      case "tooSlow":
        rejectUnread(res, 408, "the body did not arrive in time");
        return;
      case "aborted":
        return;
    }
  };
  server.on("request", (req: IncomingMessage, res: ServerResponse) => {
    void serve(req, res);
  });
  server.listen(options.listen.port, options.listen.host);

  const takePending = (key: string): PendingResponse | undefined => {
    const found = pendingResponses.get(key);
    pendingResponses.delete(key);
    return found;
  };

  const writeHead = (
    res: ServerResponse,
    head: ResponseHead,
    length?: number,
  ) => {
    const headers = forwardableHeaders(head.headers, framingHeaders);
    if (length !== undefined) headers.push("content-length", String(length));
    if (isDraining) headers.push("connection", "close");
    res.writeHead(head.status, headers);
  };

  const deliverResponse = (key: string, { head, body }: BufferedResponse) => {
    const found = takePending(key);
    if (found === undefined) return;
    metrics.count(Counter.Answers);
    metrics.observe(Latency.Answer, now() - found.arrivedAt);
    const { res } = found;
    const hasBody = !isBodiless(res.req.method ?? "", head.status);
    const isFramed = head.framing !== BodyFraming.Connection;
    if (hasBody && !isFramed) endWithConnection(res);
    const isSized = hasBody && isFramed;
    writeHead(res, head, isSized ? body.length : undefined);
    res.end(body);
  };

  const deliverEvents = (
    command: Extract<RelayCommand, { type: "deliverEvents" }>,
  ) => {
    const found = pendingResponses.get(command.key);
    if (found === undefined) return;
    const { res } = found;
    metrics.count(Counter.Events, command.events.length);
    if (!found.hasEvents)
      metrics.observe(Latency.FirstEvent, now() - found.arrivedAt);
    found.hasEvents = true;
    for (const { bytes } of command.events) res.write(bytes);
    if (res.writableLength > maxUnreadBytes) res.destroy();
  };

  const perform = (command: RelayCommand) => {
    switch (command.type) {
      case "deliverResponse":
        deliverResponse(command.key, command.answer);
        return;
      case "startStream": {
        const found = pendingResponses.get(command.key);
        if (found === undefined) return;
        writeHead(found.res, command.head);
        found.res.flushHeaders();
        return;
      }
      case "deliverEvents":
        deliverEvents(command);
        return;
      case "finishStream": {
        const found = takePending(command.key);
        metrics.count(Counter.Answers);
        found?.res.end();
        return;
      }
      case "abortStream":
        metrics.count(Counter.StreamsAborted);
        takePending(command.key)?.res.destroy();
        return;
      case "refuse": {
        const found = takePending(command.key);
        if (found === undefined) return;
        const { status, reason, retryAfterMs } = command;
        metrics.count(Counter.Refusals);
        writeRefusal(found.res, status, reason, retryAfterMs);
        return;
      }
      case "beginDrain":
        isDraining = true;
        return;
      case "applyLimits":
        applyLimits(command.limits);
        return;
      default:
    }
  };

  return {
    events: channel.stream,
    perform,
    closeIdle: () => {
      connections.closeIdle();
    },
    openRequestCount: () => connections.requestCount(),
    stop: () => {
      if (server.listening) server.close();
      server.closeAllConnections();
      return Promise.resolve();
    },
  };
};
