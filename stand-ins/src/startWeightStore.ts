/** Stand-in for the weight store: serves weights at a limited rate. */

import type { LoadedModel } from "@cardamomglade/schema";
import { sendJson, startServer, type StandInServer } from "./httpServer.js";

/** Starts a weight store. Fetches run one after another; `GET /weights` lists the weights if they are given. */
export const startWeightStore = (
  port: number,
  bytesPerSecond: number,
  weights?: readonly LoadedModel[],
): Promise<StandInServer> => {
  let freeAtMs = 0;
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
    freeAtMs = Math.max(freeAtMs, Date.now()) + (bytes / bytesPerSecond) * 1000;
    setTimeout(() => {
      sendJson(call.res, 200, { bytes });
    }, freeAtMs - Date.now());
    return true;
  });
};
