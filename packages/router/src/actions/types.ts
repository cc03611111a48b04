/** Types shared by the event handlers of the router. */

import type { Transition } from "@cardamomglade/common";
import type {
  RouterCommand,
  RouterEvent,
  RouterEventOf,
  RouterState,
} from "../types.js";

/** Result of a handler: the next state and the commands to perform. */
export type RouterStep = Transition<RouterState, RouterCommand>;

/** Handles one type of event. */
export type EventHandler<T extends RouterEvent["type"]> = (
  state: RouterState,
  event: RouterEventOf<T>,
) => RouterStep;
