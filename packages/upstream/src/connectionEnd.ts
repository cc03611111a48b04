/**
 * Tells a connection that was reset from one that was closed. Load pattern: a service breaks
 * off an answer that ends with its connection. Undici takes any such end for the answer's,
 * and Node reports an orderly one where the reset arrives before the last bytes are read.
 */

import type { Socket } from "node:net";

/** How the other side ended a connection. */
export enum ConnectionEnd {
  Closed = "closed",
  Reset = "reset",
}

/**
 * Resolves once the other side has ended the connection. The write of no bytes fails on a
 * connection that was reset, and sends nothing on another one.
 */
export const awaitConnectionEnd = (socket: Socket): Promise<ConnectionEnd> =>
  new Promise((resolve) => {
    socket.once("error", () => {
      resolve(ConnectionEnd.Reset);
    });
    socket.once("close", () => {
      resolve(ConnectionEnd.Closed);
    });
    // Prepended, as Node closes the sending half in its own listener.
    socket.prependOnceListener("end", () => {
      socket.write(Buffer.alloc(0), (error) => {
        const isReset = error !== null && error !== undefined;
        resolve(isReset ? ConnectionEnd.Reset : ConnectionEnd.Closed);
      });
    });
  });
