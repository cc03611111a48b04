/** Asks the system whether a connection was reset, which reading shows no more behind its end. */

import type { Socket } from "node:net";

/**
 * Whether a connection was reset. The write of no bytes fails on one that was, and sends
 * nothing on another one; it waits for the bytes that were written before.
 */
export const isReset = (socket: Socket): Promise<boolean> =>
  new Promise((resolve) => {
    socket.write(Buffer.alloc(0), (error) => {
      resolve(error !== null && error !== undefined);
    });
  });
