/** Types of silent attempts that stay open while another replica is asked. */

import type { Timestamp } from "@cardamomglade/common";
import type { Attempt } from "../types.js";

/** A silent attempt that stays open until another replica has begun with its request. */
export interface Fallback {
  readonly attempt: Attempt;
  /** Time at which it is closed although the other replica has not answered yet; undefined until that one is connected. */
  closesAt: Timestamp | undefined;
}
