/** HTTP server for callers, or for routers that hand requests on: reads requests and writes responses. */

import { inspect } from "node:util";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { createChannel, now } from "@cardamomglade/common";
import { createPortLog, Severity } from "@cardamomglade/observe";
import type { RelayCommand } from "../decisions/commands.js";
import {
  maxConnectionsOf,
  maxRouterConnectionsOf,
} from "../decisions/connections/maxConnections.js";
import type { RelayEvent } from "../decisions/events.js";
import { Counter, createRelayMetrics } from "../metrics.js";
import { defaultLimits, type RequestLimits } from "../types.js";
import { BrokenResponses } from "./brokenResponses.js";
import { ConnectionLimit } from "./connectionLimit.js";
import { AnswerWriter } from "./front/answerWriter.js";
import { PendingResponses } from "./front/pendingResponses.js";
import { ReadingRequests } from "./front/readingRequests.js";
import { RequestReader } from "./front/requestReader.js";
import type { FrontDriver, FrontOptions } from "./front/types.js";
import { HeadTimeout } from "./headTimeout.js";
import { IdleTimeouts } from "./idleTimeouts.js";
import { BegunHeads } from "./memory/begunHeads.js";
import { HeadFields } from "./memory/headFields.js";
import { memoryBudget } from "./memory/memoryBudget.js";
import { OpenConnections } from "./openConnections.js";
import { openFrontPort } from "./openFrontPort.js";
import { RefusalWriter } from "./refusalWriter.js";
import { refuseMalformed } from "./refuseMalformed.js";
import { requestIdOf } from "./requestIdOf.js";
import { Sender } from "./sender.js";

const connectionCheckIntervalMs = 500; // interval at which Node checks connections for overdue request heads
const failureReason = "an error in the program";
const parserHeadBytes = 64 * 1024; // of any connection, whose limit may grow while it is open

/** Creates the server. */
export const createFrontDriver = (options: FrontOptions): FrontDriver => {
  const { listen, protocol, log, sender } = options;
  const isFromRouters = sender === Sender.Routers;
  // What a router hands on is counted there.
  const metrics = isFromRouters ? createRelayMetrics() : options.metrics;
  const channel = createChannel<RelayEvent>();
  let limits = defaultLimits; // until the configuration is known
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
  const fields = HeadFields.create({
    server,
    connections,
    budget: memoryBudget,
  });
  const reading = ReadingRequests.create(connections, fields);
  BegunHeads.create({
    server,
    connections,
    budget: memoryBudget,
    maxHeadBytes,
    maxFieldsOf: (socket) => fields.limitOf(socket),
    countBehind: (res) => {
      reading.countBehind(res);
    },
    onNoRoom: (socket) => {
      if (connections.hasRequest(socket))
        socket.destroy(); // it reads ahead of an answer
      else refusals.rejectHead(socket);
    },
  });
  const maxCountOf = isFromRouters ? maxRouterConnectionsOf : maxConnectionsOf;
  ConnectionLimit.create({
    server,
    connections,
    maxCount: () => maxCountOf(options.maxDescriptors?.()),
    refuseStalled: (res) => reading.refuseStalled(res),
    onClosed: (count) => {
      log(Severity.Warn, "connections closed: descriptors are short", {
        detail: `${String(count)} closed of ${sender}`,
      });
    },
  });

  const broken = BrokenResponses.create(protocol, log);
  const pending = PendingResponses.create(broken, (key) => {
    metrics.count(Counter.CallersDisconnected);
    channel.push({ type: "callerDisconnected", at: now(), key });
  });
  const answers = AnswerWriter.create({
    isFromRouters,
    metrics,
    connections,
    broken,
    pending,
    closesAfter,
  });
  const reader = RequestReader.create({
    protocol,
    isFromRouters,
    connections,
    fields,
    reading,
    refusals,
    limits: () => limits,
    isDraining: () => isDraining,
    onRead: (res, request, memory) => {
      lastKey += 1;
      const key = `${sender}-${String(lastKey)}`;
      pending.add(key, res, request.arrivedAt, memory);
      channel.push({ type: "requestArrived", at: now(), key, request });
    },
  });
  const serve = async (req: IncomingMessage, res: ServerResponse) => {
    if (connections.hasDropped(res)) return;
    metrics.count(Counter.Requests);
    await reader.serve(req, res);
  };
  server.on("request", (req: IncomingMessage, res: ServerResponse) => {
    serve(req, res).catch((error: unknown) => {
      log(Severity.Error, "a request failed", { detail: inspect(error) });
      broken.breakOff(res, failureReason);
    });
  });
  server.on("checkContinue", (req: IncomingMessage, res: ServerResponse) => {
    reader.expect(res);
    server.emit("request", req, res);
  });
  const portLog = createPortLog({ use: sender, address: listen }, log);
  const opening = openFrontPort(server, listen, portLog);

  const perform = (command: RelayCommand) => {
    switch (command.type) {
      case "deliverResponse":
        answers.deliver(command);
        return;
      case "startStream":
        answers.startStream(command);
        return;
      case "deliverEvents":
        answers.deliverEvents(command);
        return;
      case "finishStream":
        answers.finishStream(command.key);
        return;
      case "abortStream":
        answers.abortStream(command.key);
        return;
      case "refuse": {
        const found = pending.take(command.key);
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
    const res = "key" in command ? pending.find(command.key)?.res : undefined;
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
      pending.noteAll("the relay stopped");
      if (server.listening) server.close();
      server.closeAllConnections();
      return Promise.resolve();
    },
  };
};
