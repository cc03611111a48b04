/** HTTP server for callers, or for routers that hand requests on: reads requests and writes responses. */

import { inspect } from "node:util";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { createChannel, now, type Timestamp } from "@cardamomglade/common";
import { createPortLog, Severity, type Log } from "@cardamomglade/observe";
import type { DecisionContext, RelayCommand } from "../decisions/commands.js";
import {
  maxConnectionsOf,
  maxRouterConnectionsOf,
} from "../decisions/connections/maxConnections.js";
import { maxTakenOverCount } from "../decisions/handover/constants.js";
import { HandoverRefusal } from "../decisions/handover/types.js";
import { requestBytesOf } from "../decisions/memory/budgetBytes.js";
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
import { ConnectionLimit } from "./connectionLimit.js";
import { BrokenResponses } from "./brokenResponses.js";
import { forwardableHeaders } from "./connectionHeaders.js";
import {
  encodeAnswerOrigin,
  handoverHeaders,
} from "./handover/handoverHeaders.js";
import { headBytesOf } from "./headBytes.js";
import { HeadTimeout } from "./headTimeout.js";
import { IdleTimeouts } from "./idleTimeouts.js";
import { OpenConnections } from "./openConnections.js";
import { openFrontPort } from "./openFrontPort.js";
import { BegunHeads } from "./memory/begunHeads.js";
import { HeadFields } from "./memory/headFields.js";
import {
  begunHeadMemoryOf,
  headMemoryOf,
  minBegunBytes,
} from "./memory/headMemory.js";
import { memoryBudget } from "./memory/memoryBudget.js";
import { memoryGuard } from "./memory/memoryGuard.js";
import { RequestMemory } from "./memory/requestMemory.js";
import { UnreadEvents } from "./memory/unreadEvents.js";
import { readRequest, rewrittenHeaders } from "./readRequest.js";
import { RefusalWriter } from "./refusalWriter.js";
import { refuseMalformed } from "./refuseMalformed.js";
import { requestIdOf } from "./requestIdOf.js";
import { Sender } from "./sender.js";
import type { RelayDriver } from "./types.js";
import { whenItsTurn } from "./whenItsTurn.js";
import { writeBody } from "./writeBody.js";

/** Options of the server. */
export interface FrontOptions {
  readonly listen: Address;
  readonly sender: Sender;
  readonly protocol: ReplicaProtocol;
  readonly metrics: RelayMetrics;
  readonly log: Log<DecisionContext>;
  /** Descriptors of the process, of which some are kept free; undefined if their number is not known. */
  readonly maxDescriptors?: () => number | undefined;
}

/**
 * Driver that stops in steps: while draining, responses close their
 * connections; idle connections are closed on request.
 */
export interface FrontDriver extends RelayDriver {
  /** Whether its port is open. */
  isOpen(): boolean;
  /**
   * Stops accepting connections, and closes those without a request in progress; returns
   * whether it did. If more arrives than is read, it does so only after the given time.
   */
  closeIdle(readBy: Timestamp): Promise<boolean>;
  /** Number of requests that are being read or whose response has not been sent whole. */
  openRequestCount(): number;
}

interface PendingResponse {
  readonly res: ServerResponse;
  readonly arrivedAt: number;
  readonly memory: RequestMemory;
  /** Undefined before the first event of a stream. */
  events: UnreadEvents | undefined;
}

const connectionCheckIntervalMs = 500; // interval at which Node checks connections for overdue request heads
const maxUnreadBytes = 4 * 1024 * 1024; // buffered bytes of one response that its caller does not read
const failureReason = "an error in the program";
const parserHeadBytes = 64 * 1024; // of any connection, whose limit may grow while it is open
const behindStepBytes = 4 * 1024;
const framingHeaders: ReadonlySet<string> = new Set(["content-length"]);

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
  const broken = BrokenResponses.create(protocol, log);
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

  const maxHeadBytes = () => Math.max(limits.headerBytes, parserHeadBytes);
  const applyLimits = (newLimits: RequestLimits) => {
    limits = newLimits;
    headTimeout.apply(limits.headerTimeoutMs);
    idleTimeouts.apply(limits.idleTimeoutMs);
    // Node reads this for each new connection, but the type of the server does not declare it.
    Object.assign(server, { maxHeaderSize: maxHeadBytes() });
  };
  applyLimits(defaultLimits);

  /** While draining, the last response of a connection closes it. */
  const closesAfter = (res: ServerResponse): boolean => {
    if (!isDraining) return false;
    const last = connections.lastAnswer(res.req.socket);
    return last === undefined || last === res;
  };

  const refusals = RefusalWriter.create({
    ...options,
    metrics,
    connections,
    closesAfter,
  });
  refuseMalformed(server, connections, (status, reason) => {
    refusals.record(status, reason);
  });
  /** Memory of requests that are being read. */
  const readMemory = new WeakMap<ServerResponse, RequestMemory>();

  const fields = HeadFields.create({
    server,
    connections,
    budget: memoryBudget,
  });

  /** Counts what the parser keeps behind the part of a body that was read; false if there is no room for it. */
  const holdBehind = (res: ServerResponse): boolean => {
    const { socket } = res.req;
    const bytes = connections.bytesBehind(socket);
    const maxFields = fields.limitOf(socket);
    // In steps: it changes with each chunk, however short.
    const countedBytes = Math.ceil(bytes / behindStepBytes) * behindStepBytes;
    const heldBytes =
      bytes < minBegunBytes ? 0 : begunHeadMemoryOf(countedBytes, maxFields);
    return readMemory.get(res)?.holdBehind(heldBytes) ?? true;
  };
  BegunHeads.create({
    server,
    connections,
    budget: memoryBudget,
    maxHeadBytes,
    maxFieldsOf: (socket) => fields.limitOf(socket),
    countBehind: (res) => {
      if (!holdBehind(res)) readMemory.get(res)?.giveUp();
    },
    onNoRoom: (socket) => {
      if (connections.hasRequest(socket))
        socket.destroy(); // it reads ahead of an answer
      else refusals.rejectHead(socket);
    },
  });

  /** Requests whose connections are closed with their refusals. */
  const shed = new WeakSet<ServerResponse>();
  const maxCountOf = isFromRouters ? maxRouterConnectionsOf : maxConnectionsOf;
  ConnectionLimit.create({
    server,
    connections,
    maxCount: () => maxCountOf(options.maxDescriptors?.()),
    refuseStalled: (res) => {
      const isRefused = readMemory.get(res)?.giveUpStalled() === true;
      if (isRefused) shed.add(res);
      return isRefused;
    },
    onClosed: (count) => {
      log(Severity.Warn, "connections closed: descriptors are short", {
        detail: `${String(count)} closed of ${sender}`,
      });
    },
  });

  const accept = (
    res: ServerResponse,
    key: string,
    arrivedAt: number,
    memory: RequestMemory,
  ) => {
    const events = undefined;
    pendingResponses.set(key, { res, arrivedAt, memory, events });
    let isSent = false;
    res.on("finish", () => {
      isSent = !res.req.socket.destroyed; // Node emits it for failed writes as well
    });
    res.on("close", () => {
      if (!isSent) broken.logUnfinished(res, arrivedAt);
      if (!pendingResponses.delete(key)) return;
      metrics.count(Counter.CallersDisconnected);
      channel.push({ type: "callerDisconnected", at: now(), key });
    });
  };

  /** Callers that ask whether to send the body of their request. */
  const expecting = new WeakSet<ServerResponse>();

  /** What other routers hand on was checked there, and carries more headers. */
  const isHeadTooLong = (headBytes: number): boolean =>
    !isFromRouters && headBytes >= limits.headerBytes;

  const serve = async (req: IncomingMessage, res: ServerResponse) => {
    if (connections.hasDropped(res)) return;
    metrics.count(Counter.Requests);
    connections.add(res);
    if (connections.isOverfull(res)) {
      refusals.rejectUnread(res, {
        status: serviceUnavailableStatus,
        reason: "too many requests wait on one connection",
      });
      return;
    }
    if (isFromRouters && connections.requestCount() > maxTakenOverCount) {
      refusals.rejectUnread(res, {
        status: serviceUnavailableStatus,
        reason: "too many requests of other routers",
        handoverRefusal: HandoverRefusal.NoRoom,
      });
      return;
    }
    if (isHeadTooLong(headBytesOf(req))) {
      refusals.rejectUnread(res, {
        status: 431,
        reason: "the head is too long",
      });
      return;
    }
    if (fields.mayLack(req)) {
      memoryGuard.note(requestBytesOf(headMemoryOf(req)));
      refusals.rejectForMemory(res);
      return;
    }
    const isSized = req.headers["transfer-encoding"] === undefined;
    const memory = RequestMemory.create(
      memoryBudget,
      headMemoryOf(req),
      isSized,
    );
    if (memory === undefined) {
      refusals.rejectForMemory(res);
      return;
    }
    readMemory.set(res, memory);
    res.on("close", () => {
      memory.close();
    });
    const read = await readRequest(req, {
      protocol,
      limits,
      currentLimits: () => limits,
      dropped,
      isFromRouters,
      memory,
      onRoom: () => {
        if (expecting.has(res)) res.writeContinue();
      },
      onBytes: (bytes) => {
        connections.take(req.socket, bytes);
        return isSized || holdBehind(res);
      },
    });
    if (read.type !== "complete") memory.close();
    switch (read.type) {
      case "complete": {
        // In a stop an earlier answer may last until the connection is cut.
        const hasTurn = !isDraining || (await connections.awaitTurn(res));
        if (!hasTurn || connections.hasDropped(res)) {
          memory.close();
          return;
        }
        lastKey += 1;
        const key = `${sender}-${String(lastKey)}`;
        const { request } = read;
        accept(res, key, request.arrivedAt, memory);
        channel.push({ type: "requestArrived", at: now(), key, request });
        return;
      }
      case "tooLarge":
        refusals.rejectUnread(res, {
          status: 413,
          reason: "the body is too long",
        });
        return;
      case "tooSlow":
        refusals.rejectUnread(res, {
          status: 408,
          reason: "the body did not arrive in time",
        });
        return;
      case "noRoom": {
        const { socket } = req;
        refusals.rejectForMemory(res);
        // What the parser keeps is freed with the connection.
        const isKept =
          !isSized && connections.bytesBehind(socket) >= minBegunBytes;
        if (isKept || shed.has(res)) socket.destroySoon();
        return;
      }
      case "aborted":
        return;
      case "malformed":
        refusals.rejectUnread(res, {
          status: 400,
          reason: "the request is not one that a router hands on",
        });
        return;
    }
  };
  server.on("request", (req: IncomingMessage, res: ServerResponse) => {
    serve(req, res).catch((error: unknown) => {
      log(Severity.Error, "a request failed", { detail: inspect(error) });
      broken.breakOff(res, failureReason);
    });
  });
  server.on("checkContinue", (req: IncomingMessage, res: ServerResponse) => {
    expecting.add(res);
    server.emit("request", req, res);
  });
  const portLog = createPortLog({ use: sender, address: listen }, log);
  const opening = openFrontPort(server, listen, portLog);

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
    found.memory.answer(body.length, (why) => {
      broken.breakOff(res, `the caller does not read its answer, and ${why}`);
    });
    whenItsTurn(res, () => {
      found.memory.holding.expectProgress();
    });
    writeBody(res, body, (bytes) => {
      found.memory.holding.move(bytes);
    });
  };

  const deliverEvents = (
    command: Extract<RelayCommand, { type: "deliverEvents" }>,
  ) => {
    const found = pendingResponses.get(command.key);
    if (found === undefined) return;
    const { res } = found;
    metrics.count(Counter.Events, command.events.length);
    if (found.events === undefined)
      metrics.observe(Latency.FirstEvent, now() - found.arrivedAt);
    const events = (found.events ??= UnreadEvents.create(
      memoryBudget,
      res,
      (why) => {
        broken.breakOff(res, `the caller does not read its events, and ${why}`);
      },
    ));
    for (const { bytes } of command.events) events.write(bytes);
    events.update();
    if (res.writableLength > maxUnreadBytes)
      broken.breakOff(res, "the caller does not read its events");
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
        broken.breakOff(found.res, "the stream was ended");
        return;
      }
      case "refuse": {
        const found = takePending(command.key);
        if (found === undefined) return;
        metrics.count(Counter.Refusals);
        refusals.write(found.res, command);
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

  /** A response whose command fails would stay open for ever. */
  const performOrBreakOff = (command: RelayCommand) => {
    const res =
      "key" in command ? pendingResponses.get(command.key)?.res : undefined;
    try {
      perform(command);
    } catch (error) {
      if (res !== undefined) broken.breakOff(res, failureReason);
      throw error;
    }
  };

  return {
    events: channel.stream,
    perform: performOrBreakOff,
    isOpen: () => opening.isOpen(),
    closeIdle: (readBy) => connections.closeIdle(readBy),
    openRequestCount: () => connections.openCount(),
    stop: () => {
      opening.stop();
      for (const { res } of pendingResponses.values())
        broken.note(res, "the relay stopped");
      if (server.listening) server.close();
      server.closeAllConnections();
      return Promise.resolve();
    },
  };
};
