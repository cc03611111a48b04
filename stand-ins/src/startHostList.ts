/** Stand-in for the platform's host list; it can serve an outdated list. */

import { sendJson, startServer, type StandInServer } from "./httpServer.js";

/** One entry of the host list. */
export interface ListedHost {
  readonly host: string;
  readonly status: "live" | "leaving";
  readonly emptyBy?: string;
}

interface HostListVersion {
  readonly at: number;
  readonly hosts: readonly ListedHost[];
}

/** Starts a host list; `PUT /hosts` replaces it, `GET /hosts` returns it as it was before an injected `reportLag`. */
export const startHostList = (port: number): Promise<StandInServer> => {
  const versions: HostListVersion[] = [{ at: 0, hosts: [] }];
  return startServer(port, (faults) => (call) => {
    if (call.path !== "/hosts") return false;
    if (call.method === "PUT") {
      versions.push({
        at: Date.now(),
        hosts: JSON.parse(call.body) as ListedHost[],
      });
    }
    const latestAtMs = Date.now() - (faults.peek("reportLag")?.byMs ?? 0);
    const visible = versions.findLast(({ at }) => at <= latestAtMs);
    sendJson(call.res, 200, { hosts: visible?.hosts ?? [] });
    return true;
  });
};
