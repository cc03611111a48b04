/** The weight-store stand-in: gives out weights at a limited rate. */

import type { LoadedModel } from "@cardamomglade/schema";
import { sendJson, startServer, type StandInServer } from "./httpServer.js";

/** Starts a weight store; a fetch is booked after those before it. It lists its weights where they are given. */
export const startWeights = (
  port: number,
  bytesPerSecond: number,
  weights?: readonly LoadedModel[],
): Promise<StandInServer> => {
  let freeAt = 0;
  return startServer(port, () => (call) => {
    if (call.path === "/rate") {
      sendJson(call.res, 200, { bytesPerSecond });
      return true;
    }
    if (call.path === "/weights" && weights !== undefined) {
      sendJson(call.res, 200, { weights });
      return true;
    }
    if (call.path !== "/fetch") return false;
    const bytes = Number(call.query.get("bytes") ?? 0);
    freeAt = Math.max(freeAt, Date.now()) + (bytes / bytesPerSecond) * 1000;
    setTimeout(() => {
      sendJson(call.res, 200, { bytes });
    }, freeAt - Date.now());
    return true;
  });
};
