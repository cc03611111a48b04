/** Handles a new host list from the platform. */

import {
  applyListedLeavingHosts,
  updateLeavingHostMarks,
} from "@cardamomglade/decisions";
import { TimelineTopic } from "@cardamomglade/schema";
import type { RouterCommand, RouterState } from "../types.js";
import type { EventHandler } from "./types.js";

const changesOf = (
  before: ReadonlySet<string>,
  after: ReadonlySet<string>,
): RouterCommand[] => {
  const record = (name: string, host: string): RouterCommand => ({
    type: "record",
    event: { topic: TimelineTopic.Drain, name, detail: host },
  });
  return [
    ...[...after]
      .filter((host) => !before.has(host))
      .map((host) => record("hostListedLeaving", host)),
    ...[...before]
      .filter((host) => !after.has(host))
      .map((host) => record("hostListedLive", host)),
  ];
};

/**
 * Marks the hosts that the list reports as leaving. A host that the
 * configuration marks as leaving stays marked, whatever the list reports.
 */
export const hostListRead: EventHandler<"hostListRead"> = (
  state,
  { at, hosts },
) => {
  const hostMarks = updateLeavingHostMarks(state.hostMarks, hosts, at);
  const before = state.config.listedLeavingHosts;
  const marked = new Set(hostMarks.keys());
  const commands = changesOf(before, marked);
  const next: RouterState = { ...state, hostMarks };
  if (commands.length === 0) return { state: next, commands };
  const config = applyListedLeavingHosts(state.config, marked);
  return { state: { ...next, config }, commands };
};
