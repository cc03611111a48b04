/** Shape of an action. */

import type { Step } from "@cardamomglade/common";
import type {
  RouterCommand,
  RouterEvent,
  RouterEventOf,
  RouterState,
} from "../types.js";

/** Result of an action. */
export type RouterStep = Step<RouterState, RouterCommand>;

/** Folds one type of event into the router's state. */
export type Action<T extends RouterEvent["type"]> = (
  state: RouterState,
  event: RouterEventOf<T>,
) => RouterStep;
