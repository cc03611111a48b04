/** Timeline of this process. */

import { OperatorRight } from "@cardamomglade/schema";
import type { StateView } from "../drivers/types.js";
import type { EventRing } from "../timeline/eventRing.js";
import type { AdministrationResponse, AdministrationRoute } from "./types.js";

const timestampPattern = /^\d{13}(-\d{6}(-.*)?)?$/;

const malformedSinceResponse = (since: string): AdministrationResponse => ({
  status: 400,
  body: {
    error: {
      type: "malformed",
      message: `since "${since}" is no clock reading; expected 13 digits of milliseconds, or a reading of an event`,
    },
  },
});

/** `GET /timeline?request=&since=`: events of this process, oldest first. */
export const createTimelineRoute = (
  view: StateView,
  ring: EventRing,
): AdministrationRoute => ({
  method: "GET",
  path: "/timeline",
  right: OperatorRight.Read,
  handle: ({ query }) => {
    const since = query.get("since");
    const request = query.get("request");
    if (since !== null && !timestampPattern.test(since))
      return malformedSinceResponse(since);
    const { router, linkedPeers } = view();
    const body = {
      process: router.name,
      zone: router.zone,
      peers: [...linkedPeers],
      droppedUpTo: ring.droppedUpTo(),
      events: ring.read({
        ...(request === null ? {} : { request }),
        ...(since === null ? {} : { since }),
      }),
    };
    return { status: 200, body };
  },
});
