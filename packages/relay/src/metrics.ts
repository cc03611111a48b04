/** Metrics of the relay. */

import { Metrics } from "@cardamomglade/observe";

/** Names of the counters. */
export enum Counter {
  Requests = "requests_total",
  Answers = "answers_total",
  Refusals = "refusals_total",
  /** Requests refused because memory is short. */
  MemoryRefusals = "memory_refusals_total",
  StreamsAborted = "streams_broken_off_total",
  CallersDisconnected = "callers_left_total",
  Attempts = "attempts_total",
  Copies = "copies_used_total",
  /** Replicas asked to stop a run that its stream left. */
  Stops = "stops_asked_total",
  Events = "stream_events_total",
  Probes = "probes_total",
}

/** Names of the latency histograms. */
export enum Latency {
  Answer = "answer_seconds",
  FirstEvent = "first_event_seconds",
}

/** Metrics of one relay. */
export type RelayMetrics = Metrics<Counter, Latency>;

/** Creates metrics without observations. */
export const createRelayMetrics = (): RelayMetrics => Metrics.create();
