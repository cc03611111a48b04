/** Checks that every router applies an accepted configuration in time and never goes back to an older one. */

import type { Timestamp } from "@cardamomglade/common";
import { TimelineTopic, type TimelineEvent } from "@cardamomglade/schema";
import type { AcceptedRevision, RunRecord, Violation } from "./types.js";

const applyTimeoutMs = 12_000;
const timestampDigitCount = 13;

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
      at: Number(at.slice(0, timestampDigitCount)),
    }));

const findReverts = (
  router: string,
  inForce: readonly InForce[],
): Violation[] =>
  inForce.flatMap(({ revision }, index) => {
    const before = inForce[index - 1]?.revision ?? 0;
    if (revision >= before) return [];
    const message = `revision ${String(revision)} put in force after revision ${String(before)}`;
    return [{ type: "configurationReverted", subject: router, message }];
  });

// A killed or paused router cannot apply a configuration, so the time limit starts again after the fault.
const deadlineOf = (
  { routerFaults }: RunRecord,
  router: string,
  { acceptedAt }: AcceptedRevision,
): Timestamp => {
  const faults = routerFaults
    .filter((fault) => fault.router === router)
    .sort((a, b) => a.from - b.from);
  let deadline = acceptedAt + applyTimeoutMs;
  for (const { from, until } of faults) {
    const isDuring = from < deadline && until > acceptedAt;
    if (isDuring) deadline = Math.max(deadline, until + applyTimeoutMs);
  }
  return deadline;
};

const findLate = (
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
    const message = `revision ${String(accepted.revision)} was not in force ${String(applyTimeoutMs)} ms after it was accepted`;
    return [{ type: "configurationLate", subject: router, message }];
  });

/** Checks the configurations that every router had in force. */
export const checkConfiguration = (record: RunRecord): Violation[] =>
  record.routers.flatMap((router) => {
    const inForce = inForceOf(record.events, router);
    return [
      ...findReverts(router, inForce),
      ...findLate(record, router, inForce),
    ];
  });
