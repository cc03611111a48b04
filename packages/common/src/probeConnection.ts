/** Finds out whether a process listens at an address, without sending it anything. */

import { connect, type Socket } from "node:net";

/** Where a process listens. */
interface Listener {
  readonly host: string;
  readonly port: number;
}

/** How an attempt to connect ended. */
export enum ConnectionOutcome {
  Connected = "connected",
  /** The host answered that no process listens. */
  Refused = "refused",
  /** Nothing was heard in time, or the connection failed in another way. */
  Failed = "failed",
}

const outcomesByErrorCode: ReadonlyMap<string, ConnectionOutcome> = new Map([
  ["ECONNREFUSED", ConnectionOutcome.Refused],
  // A process accepted the connection and reset it at once.
  ["ECONNRESET", ConnectionOutcome.Connected],
]);

const awaitConnection = (
  socket: Socket,
  timeoutMs: number,
): Promise<ConnectionOutcome> =>
  new Promise((resolve) => {
    const finish = (outcome: ConnectionOutcome) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(outcome);
    };
    const timer = setTimeout(() => {
      finish(ConnectionOutcome.Failed);
    }, timeoutMs);
    socket.once("connect", () => {
      finish(ConnectionOutcome.Connected);
    });
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      finish(outcomesByErrorCode.get(code ?? "") ?? ConnectionOutcome.Failed);
    });
  });

/**
 * Connects and closes at once; resolves by the timeout at the latest, also if the
 * address is invalid.
 */
export const probeConnection = async (
  { host, port }: Listener,
  timeoutMs: number,
): Promise<ConnectionOutcome> => {
  let socket: Socket;
  try {
    socket = connect({ host, port });
  } catch {
    // An address that cannot be connected to says nothing about a process.
    return ConnectionOutcome.Failed;
  }
  return awaitConnection(socket, timeoutMs);
};
