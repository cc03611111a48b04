/** Calls plain services. */

import { createChannel, now } from "@cardamomglade/common";
import type { Services } from "@cardamomglade/upstream";
import type { RouterEvent } from "../types.js";
import type { RouterDriver } from "./types.js";

/** Performs service calls through the service client. */
export const createServiceDriver = (services: Services): RouterDriver => {
  const channel = createChannel<RouterEvent>();
  return {
    events: channel.stream,
    perform: (command) => {
      if (command.type !== "callService") return;
      const { requestId } = command.call;
      void services.call(command.url, command.call).then((outcome) => {
        channel.push({
          type: "serviceCallEnded",
          at: now(),
          requestId,
          outcome,
        });
      });
    },
    stop: () => services.close(),
  };
};
