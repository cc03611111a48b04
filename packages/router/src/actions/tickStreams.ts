/** Timer tick of the streams: checks deadlines and silent engines. */

import type { Timestamp } from "@cardamomglade/common";
import type { RecoveryEvent } from "@cardamomglade/decisions";
import type { RouterCommand, RouterState } from "../types.js";
import { stepStream } from "./stepStream.js";
import type { RouterStep } from "./types.js";

const maxTickIntervalMs = 150;

// While this process was stalled, engines may have sent tokens that are not read
// yet, so the stall must not count as silence of an engine.
const stallMsOf = ({ lastTickAt }: RouterState, at: Timestamp): number => {
  const sinceMs = lastTickAt === undefined ? 0 : at - lastTickAt;
  return sinceMs > maxTickIntervalMs ? sinceMs : 0;
};

/** Passes the timer tick to every stream. */
export const tickStreams = (state: RouterState, at: Timestamp): RouterStep => {
  const event: RecoveryEvent = {
    type: "timerTicked",
    at,
    processStallMs: stallMsOf(state, at),
    engineLatencies: state.engineLatencies,
  };
  let current: RouterState = { ...state, lastTickAt: at };
  const commands: RouterCommand[] = [];
  for (const entry of [...state.streams.values()]) {
    const step = stepStream({ state: current, entry, event });
    current = step.state;
    commands.push(...step.commands);
  }
  return { state: current, commands };
};
