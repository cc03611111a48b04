/** Measures the token latency of engines. */

import {
  createEnginePace,
  observeGap,
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
  const pace = state.engines.get(found.backEnd) ?? createEnginePace(at);
  const gapMs = at - found.lastHeardAt;
  if (found.next > found.from) {
    pace.betweenTokens = observeGap(pace.betweenTokens, gapMs);
  } else {
    pace.firstToken = observeGap(pace.firstToken, gapMs);
  }
  pace.lastHeardAt = at;
  state.engines.set(found.backEnd, pace);
};
