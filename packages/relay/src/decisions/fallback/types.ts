/** Types of attempts that stay open while another replica is asked. */

import type { Timestamp } from "@cardamomglade/common";
import type { Attempt } from "../types.js";

/** An attempt that is silent, or whose replica leaves, and stays open until another replica has begun with its request. */
export interface Fallback {
  readonly attempt: Attempt;
  /** Whether its replica leaves: it still sends events, which do not end the search for another one. */
  readonly isLeaving: boolean;
  /** Whether the other attempt is a second try: both stay open until one answers. */
  readonly hasSecondTry: boolean;
  /** Time at which it is closed although the other replica has not answered yet; undefined until that one is connected. */
  closesAt: Timestamp | undefined;
  /** Whether it stayed open beyond that time, as one of the two replicas stood still. */
  wasNeeded: boolean;
  /** The attempt before it, if that one was open as well; it is closed once another replica accepts the request. */
  earlier: Fallback | undefined;
}
