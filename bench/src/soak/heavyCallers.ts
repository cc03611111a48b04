/** Callers of a soak test that take a router's memory: large bodies, and large answers that they leave unread. */

import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { soakHostname } from "./soakCaller.js";
import { answerBytesHeader } from "./soakReplica.js";
import { frontPort } from "./soakSettings.js";
import { BodyPace } from "./types.js";

const callerCount = 60;
const bodyBytes = 4_000_000; // below max_body_bytes of the configuration
const unsentBytes = 100; // of a body that stalls
const slowChunkBytes = 100_000;
const slowIntervalMs = 50;
const budgetMs = 2500;

let lastRequest = 0;

const headOf = (key: string, bytes: number, answerBytes: number): string => {
  lastRequest += 1;
  return [
    "POST /large/x HTTP/1.1",
    `host: ${soakHostname}`,
    `authorization: Bearer ${key}`,
    `attempt-id: large-${String(lastRequest)}`,
    `time-budget-ms: ${String(budgetMs)}`,
    `${answerBytesHeader}: ${String(answerBytes)}`,
    `content-length: ${String(bytes)}`,
    "",
    "",
  ].join("\r\n");
};

const sendSlowly = async (socket: Socket, body: Buffer): Promise<void> => {
  for (let from = 0; from < body.length; from += slowChunkBytes) {
    if (socket.destroyed) return;
    socket.write(body.subarray(from, from + slowChunkBytes));
    await sleep(slowIntervalMs);
  }
};

const sendBody = (socket: Socket, body: Buffer, pace: BodyPace): void => {
  switch (pace) {
    case BodyPace.Whole:
      socket.write(body);
      return;
    case BodyPace.Stalled:
      socket.write(body.subarray(0, -unsentBytes));
      return;
    case BodyPace.Slow:
      void sendSlowly(socket, body);
      return;
  }
};

/** Opens connections, calls `use` with each, and closes those that are left after a time. */
const openCallers = async (
  host: string,
  durationMs: number,
  use: (socket: Socket) => void,
): Promise<void> => {
  const sockets = Array.from({ length: callerCount }, () => {
    const socket = connect(frontPort, host);
    socket.on("error", () => undefined); // a caller that is refused, or cut off by a restart
    use(socket);
    return socket;
  });
  await sleep(durationMs);
  for (const socket of sockets) socket.destroy();
};

/** Callers send large bodies for a time. */
export const sendLargeBodies = (
  host: string,
  key: string,
  pace: BodyPace,
  durationMs: number,
): Promise<void> => {
  const body = Buffer.alloc(bodyBytes, "x");
  return openCallers(host, durationMs, (socket) => {
    socket.resume();
    socket.write(headOf(key, bodyBytes, 0));
    sendBody(socket, body, pace);
  });
};

/** Callers ask for large answers and read none of them for a time. */
export const leaveAnswersUnread = (
  host: string,
  key: string,
  durationMs: number,
): Promise<void> =>
  openCallers(host, durationMs, (socket) => {
    socket.pause();
    socket.write(headOf(key, 0, bodyBytes));
  });
