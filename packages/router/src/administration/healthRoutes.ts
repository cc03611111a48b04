/** Health checks for the load balancer. */

import type { StateView } from "../drivers/types.js";
import type { AdministrationRoute } from "./types.js";

const isReady = (view: StateView): boolean =>
  !view().isDraining && !view().isReportedUnready && view().config.revision > 0;

/** Live: the process responds. Ready: it has a configuration and is not draining. */
export const createHealthRoutes = (view: StateView): AdministrationRoute[] => [
  {
    method: "GET",
    path: "/health/live",
    handle: () => ({ status: 200, body: { live: true } }),
  },
  {
    method: "GET",
    path: "/health/ready",
    handle: () => {
      const ready = isReady(view);
      const { revision } = view().config;
      return { status: ready ? 200 : 503, body: { ready, revision } };
    },
  },
];
