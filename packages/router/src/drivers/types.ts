/** Types shared by the drivers. */

import type { Driver } from "@cardamomglade/common";
import type { RouterCommand, RouterEvent, RouterState } from "../types.js";

/** A driver of the router process. */
export type RouterDriver = Driver<RouterEvent, RouterCommand>;

/** Read access to the router's current state, for requests that need no event. */
export type StateView = () => RouterState;
