/** Test harness: resets a TCP connection, even while it is shutting down. */

import type { Socket } from "node:net";

/**
 * Resets the connection of a socket. libuv refuses this (EINVAL) while the socket's
 * shutdown is under way; Node.js 20 then never closes the handle, and the process
 * spins at its exit. So the reset waits until the shutdown is done.
 */
export const resetSocket = (socket: Socket): void => {
  const isShuttingDown = socket.writableEnded && !socket.writableFinished;
  if (isShuttingDown) socket.once("finish", () => socket.resetAndDestroy());
  else socket.resetAndDestroy();
};
