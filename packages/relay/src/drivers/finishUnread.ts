/** Ends responses to requests that are still arriving. */

import type { ServerResponse } from "node:http";
import { memoryGuard } from "./memory/memoryGuard.js";
import { maxDroppedBytes, maxDropMs } from "./unreadLimits.js";

/** Ends a response that was written whole, once the rest of its request has been dropped. */
export const finishUnread = (res: ServerResponse): void => {
  const { req } = res;
  if (req.complete || req.destroyed) {
    res.end();
    return;
  }
  let bytes = 0;
  const end = () => {
    clearTimeout(timer);
    res.end();
  };
  const timer = setTimeout(end, maxDropMs);
  req.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    memoryGuard.note(chunk.length);
    if (bytes > maxDroppedBytes) end();
  });
  req.once("end", end);
  req.once("close", end);
};
