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
  return phase.type === "hedged" && phase.secondary.attempt === attempt
    ? phase.secondary
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
  const pace = state.engines.get(found.backEnd) ?? createEngineLatency(at);
  const gapMs = at - found.lastTokenAt;
  if (found.next > found.from) {
    pace.interToken = addLatencySample(pace.interToken, gapMs);
  } else {
    pace.firstToken = addLatencySample(pace.firstToken, gapMs);
  }
  pace.lastTokenAt = at;
  state.engines.set(found.backEnd, pace);
};
