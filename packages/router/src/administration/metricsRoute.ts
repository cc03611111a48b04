/** Metrics in Prometheus text. */

import type { StateView } from "../drivers/types.js";
import type { Metrics } from "../metrics.js";
import type { AdministrationRoute } from "./types.js";

/** `GET /metrics`. */
export const createMetricsRoute = (
  view: StateView,
  metrics: Metrics,
): AdministrationRoute => ({
  method: "GET",
  path: "/metrics",
  handle: () => {
    const { streams, config } = view();
    const gauges = {
      streams_open: streams.size,
      config_revision: config.revision,
      resident_bytes: process.memoryUsage.rss(),
    };
    const contentType = "text/plain; version=0.0.4";
    return { status: 200, body: metrics.render(gauges), contentType };
  },
});
