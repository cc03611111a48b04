/** Test replica that answers with raw bytes from the test and records what it receives. */

import { createServer, type AddressInfo, type Socket } from "node:net";

/** Answers a request; `text` is everything received on the connection so far. */
export type RawResponder = (socket: Socket, text: string) => void;

/** Reads a connection in its own way, in place of the replica. */
export type RawReader = (socket: Socket) => void;

/** A running test replica. */
export interface RawReplica {
  readonly port: number;
  /** Text received on each connection. */
  readonly received: string[];
  /** Refuses new connections, as the host of a process that has ended does. */
  readonly refuseConnections: () => void;
  readonly stop: () => void;
}

const isComplete = (text: string): boolean => {
  const end = text.indexOf("\r\n\r\n");
  if (end === -1) return false;
  const length = /^content-length: (\d+)/im.exec(text)?.[1];
  return text.length - end - 4 >= Number(length ?? 0);
};

/** Starts a test replica on a free port of the loopback address. */
export const startRawReplica = async (
  answer: RawResponder,
  read?: RawReader,
): Promise<RawReplica> => {
  const received: string[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    const index = received.push("") - 1;
    let isAnswered = false;
    socket.on("error", () => undefined); // tests may close connections at any time
    if (read !== undefined) {
      read(socket);
      return;
    }
    socket.on("data", (chunk) => {
      const text = (received[index] ?? "") + chunk.toString("latin1");
      received[index] = text;
      if (isAnswered || !isComplete(text)) return;
      isAnswered = true;
      answer(socket, text);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    received,
    refuseConnections: () => {
      server.close();
    },
    stop: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
};
