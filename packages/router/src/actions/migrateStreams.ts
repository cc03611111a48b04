/** Migrates streams from back ends that are leaving. */

import type { RouterCommand, RouterState } from "../types.js";
import { stepStream } from "./stepStream.js";
import type { RouterStep } from "./types.js";

/**
 * Starts to migrate the streams whose current attempt runs on a host or back
 * end; with `chosen`, only those requests. A repeated call migrates the rest.
 */
export const migrateStreamsFrom = (
  state: RouterState,
  hostOrBackEnd: string,
  at: number,
  chosen?: ReadonlySet<string>,
): RouterStep => {
  const isLeaving = (name: string): boolean =>
    name === hostOrBackEnd ||
    state.config.backEnds.get(name)?.host === hostOrBackEnd;
  let current = state;
  const commands: RouterCommand[] = [];
  for (const entry of [...state.streams.values()]) {
    if (chosen?.has(entry.request.requestId) === false) continue;
    const { phase } = entry.stream;
    if (phase.type !== "running" || !isLeaving(phase.current.backEnd)) continue;
    const event = { type: "migrationRequested" as const, at };
    const step = stepStream({ state: current, entry, event });
    current = step.state;
    commands.push(...step.commands);
  }
  return { state: current, commands };
};
