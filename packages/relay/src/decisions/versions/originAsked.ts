/** Answers other routers that ask where a stream began. */

import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { isKnownRouter } from "../registration.js";
import type { RelayState } from "../types.js";
import { versionItems } from "./serviceVersions.js";
import { tellOrigins } from "./streamOrigins.js";

/** Handles a question of another router, which may not know that the service has several versions. */
export const originAsked = (
  state: RelayState,
  { from, key }: RelayEventOf<"originAsked">,
): RelayCommand[] => {
  if (!isKnownRouter(state, from)) return [];
  const items = versionItems(state);
  const version = state.versions.origins.get(key)?.version;
  return [
    ...(items.length === 0
      ? []
      : [{ type: "gossip" as const, to: from, items }]),
    tellOrigins(from, [{ key, version }]),
  ];
};
