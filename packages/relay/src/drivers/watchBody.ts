/** Notes that a large body is on its way. It is written at once: between parts, an early answer could be lost to a failed write. */

import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";

const checkIntervalMs = 50;

/** Node's own handle of a connection; its type is not declared. */
interface ConnectedSocket {
  readonly _handle?: { readonly writeQueueSize: number } | null;
}

/** Bytes that the system has not taken yet. */
const unsentBytes = (socket: Socket): number =>
  (socket as unknown as ConnectedSocket)._handle?.writeQueueSize ?? 0;

/** Calls back while the system takes bytes of the body, and when it has taken all. */
export const watchBody = (req: ClientRequest, onProgress: () => void): void => {
  req.once("socket", (socket) => {
    let lastBytes = 0;
    const timer = setInterval(() => {
      const bytes = unsentBytes(socket);
      if (bytes < lastBytes) onProgress();
      lastBytes = bytes;
    }, checkIntervalMs);
    const stop = () => {
      clearInterval(timer);
    };
    req.once("finish", onProgress);
    req.once("finish", stop);
    req.once("close", stop);
  });
};
