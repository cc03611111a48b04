/** Time line of this process. */

import type { TimelineEvent } from "@cardamomglade/schema";
import type { AdministrationRoute } from "./types.js";

/** `GET /timeline`. */
export const createTimelineRoute = (
  recorded: () => readonly TimelineEvent[],
): AdministrationRoute => ({
  method: "GET",
  path: "/timeline",
  handle: () => ({ status: 200, body: { events: recorded() } }),
});
