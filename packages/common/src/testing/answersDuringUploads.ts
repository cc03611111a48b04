/** Test harness: servers that answer a part while they are sent a long body, and end the connection. */

import type { Socket } from "node:net";
import { assertNever } from "../assertNever.js";

/** Bytes of a long body, which the system takes for a server that reads none of them. */
export const uploadBytes = 1024 * 1024;

/** Bytes of a body that the system does not take for one. */
export const largeUploadBytes = 8 * 1024 * 1024;

const settleMs = 20;
const readIntervalMs = 5;

/** What marks the end of an answer. */
export enum Framing {
  Length = "a length",
  Chunks = "chunks",
  Neither = "neither",
}

/** How a server ends its connection behind a part of its answer. */
export enum End {
  Closed = "closed",
  Reset = "reset",
  HalfClosed = "half closed",
}

/** How much of the body a server reads. */
export enum Upload {
  Written = "written",
  /** It answers at the first bytes, and reads on slowly while its connection lasts. */
  BeingWritten = "being written",
  /** It answers at the first bytes, and reads no more. */
  Stopped = "stopped",
}

/** A way to answer in part. */
export interface UploadCase {
  readonly framing: Framing;
  readonly end: End;
  readonly upload: Upload;
}

/** A head, without its empty line, and a part of its body. */
export const answerInPart = (
  framing: Framing,
  head: string,
  part: string,
): string => {
  switch (framing) {
    case Framing.Length:
      return `${head}content-length: ${String(part.length + 2)}\r\n\r\n${part}`;
    case Framing.Chunks:
      return `${head}transfer-encoding: chunked\r\n\r\n${part.length.toString(16)}\r\n${part}\r\n`;
    case Framing.Neither:
      return `${head}\r\n${part}`;
    default:
      return assertNever(framing);
  }
};

const endConnection = (socket: Socket, end: End): void => {
  switch (end) {
    case End.Closed:
      socket.destroy();
      return;
    case End.Reset:
      socket.resetAndDestroy();
      return;
    case End.HalfClosed:
      socket.end();
      return;
    default:
      assertNever(end);
  }
};

/** Reads one part of a body after the other, for longer than an answer takes to end. */
const readSlowly = (socket: Socket): void => {
  const pause = () => {
    socket.pause();
    setTimeout(() => socket.resume(), readIntervalMs);
  };
  socket.on("data", pause);
  pause();
};

/** Writes an answer in the way of a case, and ends the connection. */
export const writeAndEnd = (
  socket: Socket,
  { end, upload }: UploadCase,
  answer: string,
): void => {
  if (upload === Upload.Stopped) socket.pause();
  if (upload === Upload.BeingWritten) readSlowly(socket);
  socket.write(answer, () => {
    setTimeout(() => {
      endConnection(socket, end);
    }, settleMs);
  });
};

/** Whether the end of the connection may say that the answer is whole: the server has taken the body. */
export const mayBeWhole = ({ framing, end, upload }: UploadCase): boolean => {
  if (framing !== Framing.Neither || end === End.Reset) return false;
  return (
    upload === Upload.Written ||
    (upload === Upload.BeingWritten && end === End.HalfClosed)
  );
};

/** Statuses that no final answer can have. */
export const oddStatuses: readonly string[] = [
  "000",
  "0",
  "99",
  "600",
  "999",
  "1000",
  "101",
  "20",
  "2000",
  "abc",
  "-200",
  "",
];
