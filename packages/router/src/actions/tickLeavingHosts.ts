/** Migrates long streams ahead of time from hosts that are leaving. */

import type { Timestamp } from "@cardamomglade/common";
import {
  chooseStreamsToMigrate,
  type DrainingStream,
} from "@cardamomglade/decisions";
import type { RouterState, StreamEntry } from "../types.js";
import { chainSteps } from "./chainSteps.js";
import { migrateStreamsFrom } from "./migrateStreams.js";
import type { RouterStep } from "./types.js";

const drainCheckIntervalMs = 250;

const emptyByOf = (state: RouterState, host: string): Timestamp | undefined => {
  const configured = state.config.intent.leaving.find(
    (one) => one.host === host,
  );
  const deadlines = [
    configured === undefined ? undefined : Date.parse(configured.emptyBy),
    state.hostMarks.get(host)?.emptyBy,
  ].filter((deadline) => deadline !== undefined);
  return deadlines.length === 0 ? undefined : Math.min(...deadlines);
};

const leavingStreamOf = (
  state: RouterState,
  { request, stream }: StreamEntry,
): DrainingStream => {
  const { phase } = stream;
  const backEnd = "current" in phase ? phase.current.backEnd : "";
  const interToken = state.engineLatencies.get(backEnd)?.interToken;
  return {
    requestId: request.requestId,
    tokensLeft: request.maxTokens - stream.acceptedTokens,
    msPerToken: (interToken?.count ?? 0) > 0 ? interToken?.meanMs : undefined,
  };
};

const findStreamsOnHost = (state: RouterState, host: string): StreamEntry[] =>
  [...state.streams.values()].filter(({ stream: { phase } }) => {
    if (phase.type !== "running") return false;
    return state.config.backEnds.get(phase.current.backEnd)?.host === host;
  });

const drainHost = (
  state: RouterState,
  host: string,
  at: Timestamp,
): RouterStep => {
  const streamsOnHost = findStreamsOnHost(state, host);
  if (streamsOnHost.length === 0) return { state, commands: [] };
  const chosen = new Set(
    chooseStreamsToMigrate({
      at,
      emptyBy: emptyByOf(state, host),
      streams: streamsOnHost.map((entry) => leavingStreamOf(state, entry)),
      drainCheckIntervalMs,
    }),
  );
  return chosen.size === 0
    ? { state, commands: [] }
    : migrateStreamsFrom(state, host, at, chosen);
};

/** Checks every leaving host and migrates the streams that would not end by its `emptyBy` time. */
export const tickLeavingHosts = (
  state: RouterState,
  at: Timestamp,
): RouterStep => {
  if (at < state.nextDrainCheckAt || state.config.leavingHosts.size === 0)
    return { state, commands: [] };
  const rescheduled = { ...state, nextDrainCheckAt: at + drainCheckIntervalMs };
  return chainSteps(
    rescheduled,
    [...state.config.leavingHosts].map(
      (host) => (current) => drainHost(current, host, at),
    ),
  );
};
