/** Finds out whether a process listens at an address, without sending it anything. */

import { connect, type Socket } from "node:net";

/** Where a process listens. */
interface Listener {
  readonly host: string;
  readonly port: number;
}

/** Result of a probe. */
interface ConnectionProbe {
  readonly isRefused: boolean;
}

const awaitConnection = (
  socket: Socket,
  timeoutMs: number,
): Promise<ConnectionProbe> =>
  new Promise((resolve) => {
    const finish = (isRefused: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve({ isRefused });
    };
    const timer = setTimeout(() => {
      finish(false);
    }, timeoutMs);
    socket.once("connect", () => {
      finish(false);
    });
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      finish(code === "ECONNREFUSED");
    });
  });

/**
 * Connects and closes at once; resolves to whether the host refused the connection,
 * by the timeout at the latest, also if the address is invalid.
 */
export const probeConnection = async (
  { host, port }: Listener,
  timeoutMs: number,
): Promise<ConnectionProbe> => {
  let socket: Socket;
  try {
    socket = connect({ host, port });
  } catch {
    // An address that cannot be connected to says nothing about a process.
    return { isRefused: false };
  }
  return awaitConnection(socket, timeoutMs);
};
