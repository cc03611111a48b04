/** Migrates long streams ahead of time from hosts that are leaving. */

import type { Moment } from "@cardamomglade/common";
import { chooseMoves, type LeavingStream } from "@cardamomglade/decisions";
import type { RouterState, StreamEntry } from "../types.js";
import { chainSteps } from "./chainSteps.js";
import { moveStreamsFrom } from "./moveStreams.js";
import type { RouterStep } from "./types.js";

const lookEveryMs = 250;

const emptyByOf = (state: RouterState, host: string): Moment | undefined => {
  const wanted = state.config.intent.leaving.find((one) => one.host === host);
  const moments = [
    wanted === undefined ? undefined : Date.parse(wanted.emptyBy),
    state.hostMarks.get(host)?.emptyBy,
  ].filter((moment) => moment !== undefined);
  return moments.length === 0 ? undefined : Math.min(...moments);
};

const leavingStream = (
  state: RouterState,
  { request, stream }: StreamEntry,
): LeavingStream => {
  const { phase } = stream;
  const backEnd = "current" in phase ? phase.current.backEnd : "";
  const pace = state.engines.get(backEnd)?.betweenTokens;
  return {
    requestId: request.requestId,
    tokensLeft: request.maxTokens - stream.accepted,
    msPerToken: (pace?.count ?? 0) > 0 ? pace?.meanMs : undefined,
  };
};

const unmovedOn = (state: RouterState, host: string): StreamEntry[] =>
  [...state.streams.values()].filter(({ stream: { phase } }) => {
    if (phase.type !== "running") return false;
    return state.config.backEnds.get(phase.current.backEnd)?.host === host;
  });

const drainHost = (
  state: RouterState,
  host: string,
  at: Moment,
): RouterStep => {
  const unmoved = unmovedOn(state, host);
  if (unmoved.length === 0) return { state, commands: [] };
  const chosen = new Set(
    chooseMoves({
      at,
      emptyBy: emptyByOf(state, host),
      streams: unmoved.map((entry) => leavingStream(state, entry)),
      lookEveryMs,
    }),
  );
  return chosen.size === 0
    ? { state, commands: [] }
    : moveStreamsFrom(state, host, at, chosen);
};

/** Checks every leaving host and migrates the streams that would not end by its `emptyBy` time. */
export const tendLeavingHosts = (
  state: RouterState,
  at: Moment,
): RouterStep => {
  if (at < state.drainLookAt || state.config.leavingHosts.size === 0)
    return { state, commands: [] };
  const looked = { ...state, drainLookAt: at + lookEveryMs };
  return chainSteps(
    looked,
    [...state.config.leavingHosts].map(
      (host) => (current) => drainHost(current, host, at),
    ),
  );
};
