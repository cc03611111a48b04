/** What the relay counts and measures. */

import { Metrics } from "@cardamomglade/observe";

/** Counted events. */
export enum Counter {
  Requests = "requests_total",
  Answers = "answers_total",
  Refusals = "refusals_total",
  StreamsAborted = "streams_broken_off_total",
  CallersDisconnected = "callers_left_total",
  Attempts = "attempts_total",
  Copies = "copies_used_total",
  Events = "stream_events_total",
  Probes = "probes_total",
}

/** Measured latencies. */
export enum Latency {
  Answer = "answer_seconds",
  FirstEvent = "first_event_seconds",
}

/** The metrics of one relay. */
export type RelayMetrics = Metrics<Counter, Latency>;

/** Metrics without any observation. */
export const createRelayMetrics = (): RelayMetrics => Metrics.create();
