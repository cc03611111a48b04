/** Measures the token latency of engines. */

import {
  createEngineLatency,
  addLatencySample,
  type AttemptState,
  type RecoveryEvent,
} from "@cardamomglade/decisions";
import type { RouterState, StreamEntry } from "../types.js";

type TokensArrived = Extract<RecoveryEvent, { type: "tokensArrived" }>;

const openAttemptOf = (
  { stream }: StreamEntry,
  attempt: number,
): AttemptState | undefined => {
  const { phase } = stream;
  if (!("current" in phase)) return undefined;
  if (phase.current.attempt === attempt) return phase.current;
  return phase.type === "hedged" && phase.challenger.attempt === attempt
    ? phase.challenger
    : undefined;
};

/** Adds the time since an attempt's last token to the latency statistics of its engine. */
export const recordTokenGap = (
  state: RouterState,
  entry: StreamEntry,
  { attempt, at }: TokensArrived,
): void => {
  const found = openAttemptOf(entry, attempt);
  if (found === undefined || entry.stream.isPaused) return;
  const latency =
    state.engineLatencies.get(found.backEnd) ?? createEngineLatency(at);
  const gapMs = at - found.lastHeardAt;
  if (found.next > found.from) {
    latency.interToken = addLatencySample(latency.interToken, gapMs);
  } else {
    latency.firstToken = addLatencySample(latency.firstToken, gapMs);
  }
  latency.lastTokenAt = at;
  state.engineLatencies.set(found.backEnd, latency);
};
