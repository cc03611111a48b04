/** The host-list stand-in: live and leaving hosts, told late. */

import { sendJson, startServer, type StandInServer } from "./httpServer.js";

/** One host as listed. */
export interface ListedHost {
  readonly host: string;
  readonly status: "live" | "leaving";
  readonly emptyBy?: string;
}

interface Version {
  readonly at: number;
  readonly hosts: readonly ListedHost[];
}

/** Starts a host list; `PUT /hosts` replaces it, `GET /hosts` tells it with the lag on order. */
export const startHosts = (port: number): Promise<StandInServer> => {
  const versions: Version[] = [{ at: 0, hosts: [] }];
  return startServer(port, (faults) => (call) => {
    if (call.path !== "/hosts") return false;
    if (call.method === "PUT") {
      versions.push({
        at: Date.now(),
        hosts: JSON.parse(call.body) as ListedHost[],
      });
    }
    const newest = Date.now() - (faults.peek("reportLag")?.byMs ?? 0);
    const told = versions.findLast(({ at }) => at <= newest);
    sendJson(call.res, 200, { hosts: told?.hosts ?? [] });
    return true;
  });
};
