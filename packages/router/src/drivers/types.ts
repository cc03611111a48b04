/** What drivers share. */

import type { Driver } from "@cardamomglade/common";
import type { RouterCommand, RouterEvent, RouterState } from "../types.js";

/** A driver of the router process. */
export type RouterDriver = Driver<RouterEvent, RouterCommand>;

/** Read access to the router's state, for drivers that answer without an event. */
export type StateView = () => RouterState;
