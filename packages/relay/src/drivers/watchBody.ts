/** Notes that a large body is on its way. It is written at once: between parts, an early answer could be lost to a failed write. */

import type { ClientRequest } from "node:http";
import { unsentBytes } from "@cardamomglade/common";

const checkIntervalMs = 50;

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
