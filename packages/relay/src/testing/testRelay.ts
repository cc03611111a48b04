/** Test harness: a relay between raw connections of callers and a raw replica. */

import { connect, type Socket } from "node:net";
import { afterEach } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createChannel, createSourceDriver, now } from "@cardamomglade/common";
import { freePort } from "@cardamomglade/common/testing/freePort";
import { createRelay, type Relay } from "../createRelay.js";
import type { RelayEvent } from "../decisions/events.js";
import {
  startRawReplica,
  type RawReader,
  type RawResponder,
  type RawReplica,
} from "./rawReplica.js";
import { plainService, testConfig, testReplica } from "./scenario.js";
import type { RelayConfig, RequestLimits } from "../types.js";
import { testProtocol } from "./testProtocol.js";
import { testStateOptions } from "./testStateOptions.js";
import { untilReady } from "./untilReady.js";

/** A relay with replicas that answer raw bytes. */
export interface TestRelay {
  readonly replica: RawReplica;
  readonly second: RawReplica | undefined;
  readonly relay: Relay;
  readonly port: number;
  readonly lines: string[];
  /** Puts a configuration with changed limits in force. */
  readonly changeLimits: (changes: Partial<RequestLimits>) => Promise<void>;
  /** Puts a configuration in force whose routes leave requests all their budget. */
  readonly extendTimeouts: () => Promise<void>;
  readonly stop: () => Promise<void>;
}

/** Budget of a request where the test is not about its length: more than a busy machine needs. */
export const patientMs = 20_000;

const startedRelays: TestRelay[] = [];

// A test that fails leaves its relay running, and the process would not end.
afterEach(async () => {
  for (const relay of startedRelays.splice(0)) await relay.stop();
});

/**
 * Starts a relay and its replica, which may have several ids, on free ports of the
 * loopback address; a second one answers in its own way from another zone. The first one
 * may read in its own way, and answer when it is asked to stop a run.
 */
export const startTestRelay = async (
  answer: RawResponder,
  service = plainService,
  ids: readonly string[] = ["a-9"],
  answerSecond?: RawResponder,
  read?: RawReader,
  answersStops = false,
): Promise<TestRelay> => {
  const first = answersStops ? answer : withStops(answer);
  const replica = await startRawReplica(first, read);
  const second =
    answerSecond && (await startRawReplica(withStops(answerSecond)));
  const ports = [await freePort(), await freePort(), await freePort()];
  const [front = 0, readiness = 0, metrics = 0] = ports;
  const host = "127.0.0.1";
  const events = createChannel<RelayEvent>();
  const lines: string[] = [];
  const created = createRelay({
    front: { host, port: front },
    readiness: { host, port: readiness },
    metrics: { host, port: metrics },
    protocol: testProtocol,
    state: testStateOptions("r1"),
    log: (_, message) => lines.push(message),
    platform: [createSourceDriver(events.stream)],
    onLoopEnded: () => undefined,
    gauges: () => ({}),
  });
  const here = { host, port: replica.port };
  const replicas = ids.map((id) => testReplica(id, service, here));
  if (second !== undefined)
    replicas.push(testReplica("b-9", service, { host, port: second.port }));
  events.push({ type: "configRead", at: now(), config: testConfig() });
  events.push({ type: "replicasRead", at: now(), replicas });
  await untilReady({ host, port: readiness });
  let config = testConfig();
  const replaceConfig = async (changes: Partial<RelayConfig>) => {
    config = { ...config, ...changes, version: config.version + 1 };
    events.push({ type: "configRead", at: now(), config });
    await sleep(20);
  };
  let stopped: Promise<void> | undefined;
  const relay: Relay = {
    ...created,
    drain: (deadline) => (stopped ??= created.drain(deadline)),
  };
  const started: TestRelay = {
    replica,
    second,
    relay,
    port: front,
    lines,
    changeLimits: (changes) =>
      replaceConfig({ limits: { ...config.limits, ...changes } }),
    extendTimeouts: () =>
      replaceConfig({
        routes: config.routes.map((one) => ({ ...one, timeoutMs: patientMs })),
      }),
    stop: async () => {
      await relay.drain(now());
      replica.stop();
      second?.stop();
    },
  };
  startedRelays.push(started);
  return started;
};

const answerMs = 400; // waited at least, so that bytes after an answer are seen
const quietMs = 100;

/**
 * Sends bytes and returns everything received until the connection closes or the
 * time has passed. Without a time it waits until an answer has come and nothing
 * follows it.
 */
export const exchange = (
  port: number,
  bytes: string,
  waitMs?: number,
): Promise<string> =>
  new Promise((resolve) => {
    let text = "";
    const socket: Socket = connect(port, "127.0.0.1");
    const finish = () => {
      clearTimeout(timer);
      socket.destroy();
      resolve(text);
    };
    const startedAt = now();
    let timer = setTimeout(finish, waitMs ?? patientMs);
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      if (waitMs !== undefined) return;
      clearTimeout(timer);
      const leftMs = startedAt + answerMs - now();
      timer = setTimeout(finish, Math.max(leftMs, quietMs));
    });
    socket.on("error", finish);
    socket.on("close", finish);
    socket.write(bytes);
  });

/** Text of a caller's request. */
export const requestText = (
  path: string,
  headers: readonly string[] = [],
  method = "GET",
  body = "",
  budgetMs = 1000,
): string =>
  [
    `${method} ${path} HTTP/1.1`,
    "host: host.example",
    "x-request: r1",
    `x-budget: ${String(budgetMs)}`,
    "authorization: Bearer key-1",
    ...headers,
    "",
    body,
  ].join("\r\n");

/** Text of a request without a body that may take long. */
export const patientRequestText = (
  path: string,
  headers: readonly string[] = [],
): string => requestText(path, headers, "GET", "", patientMs);

/** Headers of a response that belongs to the request and is sealed. */
export const sealed = "x-request: r1\r\nx-seal: s\r\n";

/** Answers with a whole response. */
export const respondOk: RawResponder = (socket) => {
  socket.end(
    `HTTP/1.1 200 OK\r\n${sealed}content-length: 5\r\nx-extra: 1\r\n\r\nhello`,
  );
};

/** Whether a replica is asked to stop a run. */
export const isStopRequest = (text: string): boolean =>
  text.startsWith(`POST ${testProtocol.kvCopyPath} `) && text.endsWith(" last");

/** Lets a replica without runs of its own answer that it has none to stop: it dropped the run with its connection. */
const withStops =
  (answer: RawResponder): RawResponder =>
  (socket, text) => {
    if (isStopRequest(text))
      socket.end("HTTP/1.1 404 None\r\ncontent-length: 0\r\n\r\n");
    else answer(socket, text);
  };

/** Lets a replica answer requests for its load report, and all others as given. */
export const withReports =
  (answer: RawResponder): RawResponder =>
  (socket, text) => {
    if (isReportRequest(text)) socket.end(respondJson("{}"));
    else answer(socket, text);
  };

/** Whether a replica is asked for its load report. */
export const isReportRequest = (text: string): boolean =>
  text.startsWith(`GET ${testProtocol.reportPath} `);

/** A whole answer to a question of the relay. */
export const respondJson = (body: string): string =>
  `HTTP/1.1 200 OK\r\ncontent-length: ${String(body.length)}\r\n\r\n${body}`;

/** Answers reports, and executes no request. */
export const refuseAsFull: RawResponder = (socket, text) => {
  socket.end(
    isReportRequest(text)
      ? respondJson("{}")
      : `HTTP/1.1 503 Full\r\n${sealed}x-not-run: 1\r\ncontent-length: 0\r\n\r\n`,
  );
};
