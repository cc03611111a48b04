/** Back ends that may receive new requests. */

import type { BackEnd } from "@cardamomglade/schema";
import type { ActiveConfig } from "@cardamomglade/decisions";

/** The named back ends, except those on leaving hosts. */
export const candidatesOf = (
  config: ActiveConfig,
  names: readonly string[],
): BackEnd[] =>
  names
    .map((name) => config.backEnds.get(name))
    .filter((backEnd) => backEnd !== undefined)
    .filter((backEnd) => !config.leavingHosts.has(backEnd.host));
