/** An accepted configuration is in force everywhere in time, and never reverts. */

import type { Timestamp } from "@cardamomglade/common";
import { TimelineTopic, type TimelineEvent } from "@cardamomglade/schema";
import type { AcceptedRevision, RunRecord, Violation } from "./types.js";

const inForceWithinMs = 12_000;
const wallDigits = 13;

interface InForce {
  readonly revision: number;
  readonly at: Timestamp;
}

const inForceOf = (
  events: readonly TimelineEvent[],
  router: string,
): InForce[] =>
  events
    .filter(
      ({ process, topic, name }) =>
        process === router &&
        topic === TimelineTopic.Configuration &&
        name === "inForce",
    )
    .sort((a, b) => (a.at < b.at ? -1 : 1))
    .map(({ revision = 0, at }) => ({
      revision,
      at: Number(at.slice(0, wallDigits)),
    }));

const checkReverts = (
  router: string,
  inForce: readonly InForce[],
): Violation[] =>
  inForce.flatMap(({ revision }, index) => {
    const before = inForce[index - 1]?.revision ?? 0;
    if (revision >= before) return [];
    const message = `revision ${String(revision)} after ${String(before)}`;
    return [{ type: "configurationReverted", subject: router, message }];
  });

// Time in which the router was dead or paused does not count.
const deadlineOf = (
  { routerFaults }: RunRecord,
  router: string,
  { acceptedAt }: AcceptedRevision,
): Timestamp => {
  const faults = routerFaults
    .filter((fault) => fault.router === router)
    .sort((a, b) => a.from - b.from);
  let deadline = acceptedAt + inForceWithinMs;
  for (const { from, until } of faults) {
    const isDuring = from < deadline && until > acceptedAt;
    if (isDuring) deadline = Math.max(deadline, until + inForceWithinMs);
  }
  return deadline;
};

const checkLateness = (
  record: RunRecord,
  router: string,
  inForce: readonly InForce[],
): Violation[] =>
  record.accepted.flatMap((accepted) => {
    const deadline = deadlineOf(record, router, accepted);
    if (deadline > record.endedAt) return [];
    const isInForce = inForce.some(
      ({ revision, at }) => revision >= accepted.revision && at <= deadline,
    );
    if (isInForce) return [];
    const message = `revision ${String(accepted.revision)} was not in force ${String(inForceWithinMs)} ms after it was accepted`;
    return [{ type: "configurationLate", subject: router, message }];
  });

/** Checks what every router had in force. */
export const checkConfiguration = (record: RunRecord): Violation[] =>
  record.routers.flatMap((router) => {
    const inForce = inForceOf(record.events, router);
    return [
      ...checkReverts(router, inForce),
      ...checkLateness(record, router, inForce),
    ];
  });
