/** Closes connections whose callers may still be sending. */

import type { Socket } from "node:net";
import { maxDroppedBytes, maxDropMs } from "./unreadLimits.js";

/** Closes a connection whose last bytes were written, once what still arrives was dropped. */
export const closeUnread = (socket: Socket): void => {
  let bytes = 0;
  const destroy = () => {
    socket.destroy();
  };
  const timer = setTimeout(destroy, maxDropMs);
  socket.once("close", () => {
    clearTimeout(timer);
  });
  socket.removeAllListeners("data"); // of the parser, which has failed
  socket.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > maxDroppedBytes) destroy();
  });
  socket.end();
};
