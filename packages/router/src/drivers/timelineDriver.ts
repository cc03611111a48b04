/** Records what the process does on its time line. */

import { createSink } from "@cardamomglade/common";
import { EventRing } from "../timeline/eventRing.js";
import { eventOfCommand } from "../timeline/eventOfCommand.js";
import { FirstDeliveries } from "../timeline/firstDeliveries.js";
import type { RouterCommand, RouterEvent } from "../types.js";
import type { ProcessClock } from "./processClock.js";
import type { RouterDriver } from "./types.js";

const keptEvents = 8192;

/** A driver that keeps the newest events. */
export type TimelineDriver = RouterDriver & { readonly ring: EventRing };

/** Records events of one process. */
export const createTimelineDriver = (
  process: string,
  clock: ProcessClock,
): TimelineDriver => {
  const ring = EventRing.create(keptEvents);
  const deliveries = FirstDeliveries.create();

  const isLeftOut = (command: RouterCommand): boolean =>
    command.type === "deliver" &&
    !deliveries.isFirst(command.requestId, command.source.attempt);

  const perform = (command: RouterCommand) => {
    if (isLeftOut(command)) return;
    const event = eventOfCommand(command);
    if (event !== undefined) ring.add({ ...event, at: clock.stamp(), process });
    if (command.type === "finishAnswer" || command.type === "failAnswer")
      deliveries.forget(command.requestId);
  };

  return { ...createSink<RouterEvent, RouterCommand>(perform), ring };
};
