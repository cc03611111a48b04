/** Finds out whether a process listens at an address, without sending it anything. */

import { connect } from "node:net";
import type { Address } from "../types.js";

/** Connects and closes at once; resolves to whether the host refused the connection, by the timeout at the latest. */
export const probeConnection = (
  { host, port }: Address,
  timeoutMs: number,
): Promise<{ readonly isRefused: boolean }> =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
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
