/** Names of the router's metrics. */

import { Metrics as ProcessMetrics } from "@cardamomglade/observe";

/** Counters. */
export enum Counter {
  Requests = "requests_total",
  Tokens = "tokens_delivered_total",
  TokensWasted = "tokens_wasted_total",
  Resumes = "stream_resumes_total",
  Failures = "requests_failed_total",
  ServiceCalls = "service_calls_total",
}

/** Latency metrics. */
export enum Latency {
  FirstToken = "first_token_seconds",
  BetweenTokens = "between_tokens_seconds",
  Resume = "resume_seconds",
  ServiceCall = "service_call_seconds",
}

/** The metrics of one router. */
export type Metrics = ProcessMetrics<Counter, Latency>;

/** Creates metrics with no observations. */
export const createMetrics = (): Metrics => ProcessMetrics.create();
