/** Records the commands of the process as timeline events. */

import { createSinkDriver } from "@cardamomglade/common";
import { EventRing } from "../timeline/eventRing.js";
import { eventOfCommand } from "../timeline/eventOfCommand.js";
import { FirstDeliveryTracker } from "../timeline/firstDeliveryTracker.js";
import type { RouterCommand, RouterEvent } from "../types.js";
import type { ProcessClock } from "./processClock.js";
import type { RouterDriver } from "./types.js";

const maxEventCount = 8192;

/** A driver that keeps the newest events in a ring buffer. */
export type TimelineDriver = RouterDriver & { readonly ring: EventRing };

/** Records the timeline events of one process. */
export const createTimelineDriver = (
  process: string,
  clock: ProcessClock,
): TimelineDriver => {
  const ring = EventRing.create(maxEventCount);
  const deliveries = FirstDeliveryTracker.create();

  const isRepeatedDelivery = (command: RouterCommand): boolean =>
    command.type === "deliver" &&
    !deliveries.isFirst(command.requestId, command.source.attempt);

  const perform = (command: RouterCommand) => {
    if (isRepeatedDelivery(command)) return;
    const event = eventOfCommand(command);
    if (event !== undefined) ring.add({ ...event, at: clock.stamp(), process });
    if (command.type === "finishAnswer" || command.type === "failAnswer")
      deliveries.forget(command.requestId);
  };

  return { ...createSinkDriver<RouterEvent, RouterCommand>(perform), ring };
};
