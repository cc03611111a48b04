/** Metrics in the Prometheus text format. */

import { residentBytes } from "@cardamomglade/common";
import type { KeyValue } from "@cardamomglade/platform";
import type { StateView } from "../drivers/types.js";
import type { Metrics } from "../metrics.js";
import type { AdministrationRoute } from "./types.js";

/** `GET /metrics`: the router's counters, latencies and gauges. */
export const createMetricsRoute = (
  view: StateView,
  metrics: Metrics,
  keyValue: Pick<KeyValue, "callCounts">,
): AdministrationRoute => ({
  method: "GET",
  path: "/metrics",
  handle: () => {
    const { streams, config, ledger } = view();
    const calls = keyValue.callCounts();
    const gauges = {
      streams_open: streams.size,
      config_revision: config.revision,
      ledger_shards_held: ledger.shards.size,
      ledger_claims_open: ledger.claims.size,
      key_value_reads_total: calls.read,
      key_value_writes_total: calls.write,
      key_value_lease_calls_total: calls.lease,
      key_value_watches_total: calls.watch,
      resident_bytes: residentBytes(),
    };
    const contentType = "text/plain; version=0.0.4";
    return { status: 200, body: metrics.render(gauges), contentType };
  },
});
