/** Callers of a soak test that send large or late bodies, or leave large answers unread. */

import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { assertNever } from "@cardamomglade/common";
import {
  requestTimeoutMs,
  sendRequest,
  soakHostname,
  type CallerRequest,
} from "./soakCaller.js";
import { answerBytesHeader } from "./soakReplica.js";
import { BodyPace, RequestType, type CallerAnswer } from "./types.js";

/** A router under heavy callers, and the key that they use. */
export type HeavyTarget = Pick<
  CallerRequest,
  "router" | "routerIndex" | "key" | "keyVersion"
>;

const callerCount = 60;
const wholeCallerCount = 30; // what the soak's one process can send and take within the budget of a request
const bodyBytes = 4_000_000; // below max_body_bytes of the configuration
const body = Buffer.alloc(bodyBytes, "x");
const unsentBytes = 100; // of a body that stalls
const slowChunkBytes = 100_000;
const slowIntervalMs = 50;
const lateCallerCount = 40;
const lateIntervalMs = 60; // so that heads come before and after the stop begins
const lateEventCount = 120; // 3 to 4 s, by the speed of the engine
const latePaceCount = 6;
const latePaceMs = 300; // of the pauses before the chunks of a body

let lastRequest = 0;
const nextRequestId = (): string => {
  lastRequest += 1;
  return `large-${String(lastRequest)}`;
};

const headOf = (key: string, bytes: number, answerBytes: number): string =>
  [
    "POST /large/x HTTP/1.1",
    `host: ${soakHostname}`,
    `authorization: Bearer ${key}`,
    `attempt-id: ${nextRequestId()}`,
    `time-budget-ms: ${String(requestTimeoutMs[RequestType.Large])}`,
    `${answerBytesHeader}: ${String(answerBytes)}`,
    `content-length: ${String(bytes)}`,
    "",
    "",
  ].join("\r\n");

const sendSlowly = async (socket: Socket): Promise<void> => {
  for (let from = 0; from < bodyBytes; from += slowChunkBytes) {
    if (socket.destroyed) return;
    socket.write(body.subarray(from, from + slowChunkBytes));
    await sleep(slowIntervalMs);
  }
};

/** Opens connections, calls `use` with each, and closes those that are left after a time. */
const openCallers = async (
  { router }: HeavyTarget,
  durationMs: number,
  use: (socket: Socket) => void,
): Promise<void> => {
  const sockets = Array.from({ length: callerCount }, () => {
    const socket = connect(router.port, router.host);
    socket.on("error", () => undefined); // a caller that is refused, or cut off by a restart
    use(socket);
    return socket;
  });
  await sleep(durationMs);
  for (const socket of sockets) socket.destroy();
};

/** Callers send whole large bodies and wait for the answers; each has to end whole or refused. */
const sendWholeBodies = (target: HeavyTarget): Promise<CallerAnswer[]> =>
  Promise.all(
    Array.from({ length: wholeCallerCount }, () =>
      sendRequest({
        ...target,
        requestId: nextRequestId(),
        requestType: RequestType.Large,
        body,
        leavesAfterMs: undefined,
      }),
    ),
  );

const sendPartOfBodies = (
  target: HeavyTarget,
  durationMs: number,
  sendBody: (socket: Socket) => void,
): Promise<void> =>
  openCallers(target, durationMs, (socket) => {
    socket.resume();
    socket.write(headOf(target.key, bodyBytes, 0));
    sendBody(socket);
  });

/** Callers send large bodies for a time; returns how those that were sent at once ended. */
export const sendLargeBodies = async (
  target: HeavyTarget,
  pace: BodyPace,
  durationMs: number,
): Promise<CallerAnswer[]> => {
  switch (pace) {
    case BodyPace.Whole:
      return sendWholeBodies(target);
    case BodyPace.Stalled:
      await sendPartOfBodies(target, durationMs, (socket) => {
        socket.write(body.subarray(0, -unsentBytes));
      });
      return [];
    case BodyPace.Slow:
      await sendPartOfBodies(target, durationMs, (socket) => {
        void sendSlowly(socket);
      });
      return [];
    default:
      return assertNever(pace);
  }
};

/** Callers send streams whose bodies come in chunks, the last ones seconds after the heads. */
export const sendLateBodies = (target: HeavyTarget): Promise<CallerAnswer[]> =>
  Promise.all(
    Array.from({ length: lateCallerCount }, async (_, index) => {
      await sleep(index * lateIntervalMs);
      return sendRequest({
        ...target,
        requestId: nextRequestId(),
        requestType: RequestType.Stream,
        eventCount: lateEventCount,
        chunkPauseMs: (index % latePaceCount) * latePaceMs,
        leavesAfterMs: undefined,
      });
    }),
  );

/** Callers ask for large answers and read none of them for a time. */
export const leaveAnswersUnread = (
  target: HeavyTarget,
  durationMs: number,
): Promise<void> =>
  openCallers(target, durationMs, (socket) => {
    socket.pause();
    socket.write(headOf(target.key, 0, bodyBytes));
  });
