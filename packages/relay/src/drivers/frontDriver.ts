/** HTTP server for callers, or for routers that hand requests on: reads requests and writes responses. */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { createChannel, now, openServerPort } from "@cardamomglade/common";
import { createPortLog, Severity, type Log } from "@cardamomglade/observe";
import type { DecisionContext, RelayCommand } from "../decisions/commands.js";
import { maxTakenOverCount } from "../decisions/handover/constants.js";
import { HandoverRefusal } from "../decisions/handover/types.js";
import { isBodiless } from "../decisions/answerEnds/isBodiless.js";
import type { RelayEvent } from "../decisions/events.js";
import {
  BodyFraming,
  type ResponseHead,
  type BufferedResponse,
} from "../decisions/types.js";
import {
  Counter,
  createRelayMetrics,
  Latency,
  type RelayMetrics,
} from "../metrics.js";
import {
  defaultLimits,
  serviceUnavailableStatus,
  type ReplicaProtocol,
  type RequestLimits,
  type Address,
} from "../types.js";
import { forwardableHeaders } from "./connectionHeaders.js";
import {
  encodeAnswerOrigin,
  handoverHeaders,
} from "./handover/handoverHeaders.js";
import { finishUnread } from "./finishUnread.js";
import { headBytesOf } from "./headBytes.js";
import { HeadTimeout } from "./headTimeout.js";
import { IdleTimeouts } from "./idleTimeouts.js";
import { OpenConnections } from "./openConnections.js";
import { isTooLong, readRequest, rewrittenHeaders } from "./readRequest.js";
import { refuseMalformed } from "./refuseMalformed.js";
import { requestIdOf } from "./requestIdOf.js";
import type { RelayDriver } from "./types.js";

/** Who sends requests to a server. */
export enum Sender {
  Callers = "callers",
  /** Routers, which hand on what their callers sent. */
  Routers = "routers",
}

/** Options of the server. */
export interface FrontOptions {
  readonly listen: Address;
  readonly sender: Sender;
  readonly protocol: ReplicaProtocol;
  readonly metrics: RelayMetrics;
  readonly log: Log<DecisionContext>;
}

/**
 * Driver that stops in steps: while draining, responses close their
 * connections; idle connections are closed on request.
 */
export interface FrontDriver extends RelayDriver {
  /** Whether its port is open. */
  isOpen(): boolean;
  /** Stops accepting connections, and closes those without a request in progress. */
  closeIdle(): Promise<void>;
  /** Number of requests that are being read or whose response has not been sent whole. */
  openRequestCount(): number;
}

/** Which side closed a connection. */
enum Closer {
  Caller = "caller",
  Relay = "relay",
}

interface PendingResponse {
  readonly res: ServerResponse;
  readonly arrivedAt: number;
  hasEvents: boolean;
}

const connectionCheckIntervalMs = 500; // interval at which Node checks connections for overdue request heads
const maxUnreadBytes = 4 * 1024 * 1024; // buffered bytes of one response that its caller does not read
const parserHeadBytes = 64 * 1024; // of any connection, whose limit may grow while it is open
const framingHeaders: ReadonlySet<string> = new Set(["content-length"]);

/** A request that a relay refuses with one of these may have been executed. */
const unknownOutcomeStatuses: ReadonlySet<number> = new Set([502, 504]);

/** Headers with which another router learns that its request was not executed here, and why. */
const refusalHeaders = (
  { headers: { notExecuted } }: ReplicaProtocol,
  status: number,
  refusal: HandoverRefusal | undefined,
): Readonly<Record<string, string>> => ({
  ...(!unknownOutcomeStatuses.has(status) && { [notExecuted]: "1" }),
  ...(refusal !== undefined && { [handoverHeaders.refusal]: refusal }),
});

/** Creates the server. */
export const createFrontDriver = (options: FrontOptions): FrontDriver => {
  const { listen, protocol, log, sender } = options;
  const isFromRouters = sender === Sender.Routers;
  // What a router hands on is counted there.
  const metrics = isFromRouters ? createRelayMetrics() : options.metrics;
  const channel = createChannel<RelayEvent>();
  const pendingResponses = new Map<string, PendingResponse>();
  const dropped = rewrittenHeaders(protocol.headers);
  let limits = defaultLimits; // until the configuration is known
  /** Responses that the relay broke off itself. */
  const whyBrokenOff = new WeakMap<ServerResponse, string>();
  let isDraining = false;
  let lastKey = 0;

  const server = createServer({
    connectionsCheckingInterval: connectionCheckIntervalMs,
    requestTimeout: 0,
    noDelay: true,
    headersTimeout: defaultLimits.headerTimeoutMs,
  });

  const connections = OpenConnections.create(server, (req) => {
    const requestId = requestIdOf(protocol, req);
    log(Severity.Info, "request dropped: its connection closes", { requestId });
  });
  const headTimeout = HeadTimeout.create(server);
  const idleTimeouts = IdleTimeouts.create(server);

  const applyLimits = (newLimits: RequestLimits) => {
    limits = newLimits;
    headTimeout.apply(limits.headerTimeoutMs);
    idleTimeouts.apply(limits.idleTimeoutMs);
    // Node reads this for each new connection, but the type of the server does not declare it.
    const maxHeaderSize = Math.max(limits.headerBytes, parserHeadBytes);
    Object.assign(server, { maxHeaderSize });
  };
  applyLimits(defaultLimits);

  /** While draining, the last response of a connection closes it. */
  const closesAfter = (res: ServerResponse): boolean => {
    if (!isDraining) return false;
    const last = connections.lastAnswer(res.req.socket);
    return last === undefined || last === res;
  };

  const writeRefusal = (
    res: ServerResponse,
    status: number,
    reason: string,
    retryAfterMs?: number,
    refusal?: HandoverRefusal,
  ) => {
    const body = JSON.stringify({ error: reason });
    if (closesAfter(res)) connections.closeAfter(res);
    if (retryAfterMs !== undefined)
      res.setHeader("retry-after", (retryAfterMs / 1000).toFixed(3));
    res.writeHead(status, {
      ...(isFromRouters && refusalHeaders(protocol, status, refusal)),
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    });
    res.write(body);
    finishUnread(res);
  };

  const recordRefusal = (
    status: number,
    reason: string,
    requestId?: string,
  ) => {
    metrics.count(Counter.Refusals);
    log(Severity.Info, "request refused unread", { requestId, status, reason });
  };
  refuseMalformed(server, connections, recordRefusal);

  const rejectUnread = (
    res: ServerResponse,
    status: number,
    why: string,
    refusal?: HandoverRefusal,
  ) => {
    recordRefusal(status, why, requestIdOf(protocol, res.req));
    connections.closeAfter(res);
    writeRefusal(res, status, why, undefined, refusal);
  };

  /** Ends a response without its end, and its connection. */
  const breakOff = (res: ServerResponse, why: string) => {
    whyBrokenOff.set(res, why);
    res.destroy();
  };

  const logUnfinished = (res: ServerResponse, arrivedAt: number) => {
    const why = whyBrokenOff.get(res);
    const severity = why === undefined ? Severity.Info : Severity.Warn;
    log(severity, "connection closed before the answer was sent", {
      requestId: requestIdOf(protocol, res.req),
      closedBy: why === undefined ? Closer.Caller : Closer.Relay,
      reason: why ?? "the caller closed it",
      headSent: res.headersSent,
      tookMs: Math.round(now() - arrivedAt),
    });
  };

  const accept = (res: ServerResponse, key: string, arrivedAt: number) => {
    pendingResponses.set(key, { res, arrivedAt, hasEvents: false });
    let isSent = false;
    res.on("finish", () => {
      isSent = !res.req.socket.destroyed; // Node emits it for failed writes as well
    });
    res.on("close", () => {
      if (!isSent) logUnfinished(res, arrivedAt);
      if (!pendingResponses.delete(key)) return;
      metrics.count(Counter.CallersDisconnected);
      channel.push({ type: "callerDisconnected", at: now(), key });
    });
  };

  /** What other routers hand on was checked there, and carries more headers. */
  const isHeadTooLong = (req: IncomingMessage): boolean =>
    !isFromRouters && headBytesOf(req) >= limits.headerBytes;

  const serve = async (req: IncomingMessage, res: ServerResponse) => {
    if (connections.hasDropped(req)) return;
    metrics.count(Counter.Requests);
    connections.add(res);
    if (isFromRouters && connections.requestCount() > maxTakenOverCount) {
      const why = "too many requests of other routers";
      rejectUnread(res, serviceUnavailableStatus, why, HandoverRefusal.NoRoom);
      return;
    }
    if (isHeadTooLong(req)) {
      rejectUnread(res, 431, "the head is too long");
      return;
    }
    const read = await readRequest(req, {
      protocol,
      limits,
      currentLimits: () => limits,
      dropped,
      isFromRouters,
    });
    switch (read.type) {
      case "complete": {
        if (connections.hasDropped(req)) return;
        lastKey += 1;
        const key = `${sender}-${String(lastKey)}`;
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
      case "malformed":
        rejectUnread(res, 400, "the request is not one that a router hands on");
        return;
    }
  };
  server.on("request", (req: IncomingMessage, res: ServerResponse) => {
    void serve(req, res);
  });
  server.on("checkContinue", (req: IncomingMessage, res: ServerResponse) => {
    if (!isTooLong(req, limits) && !isHeadTooLong(req)) res.writeContinue();
    server.emit("request", req, res);
  });
  const portLog = createPortLog({ use: sender, address: listen }, log);
  const opening = openServerPort(server, listen, portLog);

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
    const origin = isFromRouters ? encodeAnswerOrigin(head) : undefined;
    if (origin !== undefined) headers.push(handoverHeaders.answer, origin);
    if (closesAfter(res)) connections.closeAfter(res);
    res.writeHead(head.status, headers);
  };

  const deliverResponse = (key: string, { head, body }: BufferedResponse) => {
    const found = takePending(key);
    if (found === undefined) return;
    metrics.count(Counter.Answers);
    metrics.observe(Latency.Answer, now() - found.arrivedAt);
    const { res } = found;
    const hasBody = !isBodiless(res.req.method ?? "", head.status);
    // Another router gets the length, and the framing in a header of its own.
    const isFramed = isFromRouters || head.framing !== BodyFraming.Connection;
    if (hasBody && !isFramed) connections.endWith(res);
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
    if (res.writableLength > maxUnreadBytes)
      breakOff(res, "the caller does not read its events");
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
        if (found === undefined) return;
        metrics.count(Counter.Answers);
        found.res.end();
        return;
      }
      case "abortStream": {
        const found = takePending(command.key);
        if (found === undefined) return;
        metrics.count(Counter.StreamsAborted);
        breakOff(found.res, "the stream was ended");
        return;
      }
      case "refuse": {
        const found = takePending(command.key);
        if (found === undefined) return;
        const { status, reason, retryAfterMs, handoverRefusal } = command;
        metrics.count(Counter.Refusals);
        writeRefusal(found.res, status, reason, retryAfterMs, handoverRefusal);
        return;
      }
      case "beginDrain":
        isDraining = true;
        opening.stop();
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
    isOpen: () => opening.isOpen(),
    closeIdle: () => connections.closeIdle(),
    openRequestCount: () => connections.openCount(),
    stop: () => {
      opening.stop();
      for (const { res } of pendingResponses.values())
        whyBrokenOff.set(res, "the relay stopped");
      if (server.listening) server.close();
      server.closeAllConnections();
      return Promise.resolve();
    },
  };
};
