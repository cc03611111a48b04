/** Checks the guarantees of the relay against what callers and replicas recorded. */

import { assertNever } from "@cardamomglade/common";
import { checkRetryBudget } from "./checkRetryBudget.js";
import { processFaultTypes, restartFaultTypes } from "./planProcessFaults.js";
import { requestTimeoutMs } from "./soakCaller.js";
import { soakBounds } from "./soakSettings.js";
import {
  RequestType,
  type AcceptedVersion,
  type Arrival,
  type CallerAnswer,
  type FaultSpan,
  type RecordedRun,
  type SoakRecord,
  type SoakViolation,
} from "./types.js";

const arrivalSlackMs = 150; // network delay of a request that was sent in time
const deadlineSlackMs = 300; // network delay, and some timer ticks of a busy router
const shownLineCount = 8; // of a process that ended
const notRunStatuses = new Set([408, 421, 429, 503]);
const refusalStatuses = new Set([...notRunStatuses, 401]);
const storeFaultTypes = new Set(["storeBusy", "storeSilent", "storeRestore"]);
const routerFaultTypes = new Set(["routerKill", "routerPause", "storeCut"]);
const outOfTouchTypes = new Set([
  ...routerFaultTypes,
  ...restartFaultTypes,
  "routerStop",
]);
const linkFaultTypes = new Set([
  "linkReset",
  "linkSilent",
  "linkOneWay",
  "openConnectionsSilent",
]);
const plannedFaultTypes = new Set<string>([
  ...processFaultTypes,
  "routerStop",
  "routerReload",
  "configChange",
  "replicaDrain",
]);

const deskRequestTypes = new Set([RequestType.Booking, RequestType.Check]);
const silenceTypes = new Set(["replicaSilent", "streamSilent"]);

type Check = (indexed: IndexedRecord) => SoakViolation[];

/** The record, with its arrivals indexed by request. */
interface IndexedRecord {
  readonly record: SoakRecord;
  readonly arrivalsOf: (requestId: string) => readonly Arrival[];
  readonly runsOf: (requestId: string) => readonly Arrival[];
}

const overlaps = (span: FaultSpan, from: number, to: number): boolean =>
  span.from < to && span.to + soakBounds.maxContactAgeMs > from;

/** Whether a router was running and connected to the store during a period. A fault also counts if it ended less than `soakBounds.maxContactAgeMs` before it. */
const isConnectedToStore = (
  { faults }: SoakRecord,
  router: number,
  from: number,
  to: number,
): boolean =>
  !faults.some((span) => {
    const affectsRouter =
      storeFaultTypes.has(span.type) ||
      (span.router === router && routerFaultTypes.has(span.type));
    return affectsRouter && overlaps(span, from, to);
  });

const checkAtMostOnce: Check = ({ record, runsOf }) =>
  record.answers.flatMap(({ requestId, requestType }) => {
    const runs = runsOf(requestId).length;
    if (requestType !== RequestType.Booking || runs <= 1) return [];
    return [{ promise: "once", requestId, message: `${String(runs)} runs` }];
  });

const checkOwnResponse: Check = ({ record }) =>
  record.answers.flatMap(({ requestId, faults }) =>
    faults.map((message) => ({ promise: "ownAnswer", requestId, message })),
  );

const checkAnswered: Check = ({ record }) =>
  record.answers.flatMap((answer) => {
    const { requestId, router, sentAt, endedAt, outcome } = answer;
    if (outcome.type !== "silent") return [];
    if (!isConnectedToStore(record, router, sentAt, endedAt)) return [];
    const message = `no response from router ${String(router)}`;
    return [{ promise: "ownAnswer", requestId, message }];
  });

const checkNotRun: Check = ({ record, runsOf }) =>
  record.answers.flatMap(({ requestId, requestType, outcome }) => {
    if (outcome.type !== "answered" || !notRunStatuses.has(outcome.status))
      return [];
    const hasRun = runsOf(requestId).length > 0;
    if (requestType !== RequestType.Booking || !hasRun) return [];
    const message = `status ${String(outcome.status)} means not run, but the request ran`;
    return [{ promise: "notRun", requestId, message }];
  });

const checkRoute: Check = ({ record, runsOf }) => {
  const deskServices = new Set(record.versions.map(({ service }) => service));
  return record.answers.flatMap(({ requestId, requestType }) =>
    runsOf(requestId).flatMap(({ service }) => {
      if (requestType === RequestType.Large) return [];
      const isStream = requestType === RequestType.Stream;
      if (isStream !== deskServices.has(service)) return [];
      return [{ promise: "route", requestId, message: `ran at ${service}` }];
    }),
  );
};

/** Configuration versions that may apply to a request, oldest first; undefined where any version may. */
const versionsFor = (
  record: SoakRecord,
  { router, sentAt, endedAt }: CallerAnswer,
): readonly AcceptedVersion[] | undefined => {
  const { versions } = record;
  const oldest = versions.findLast(
    ({ at }) => at + soakBounds.configApplyMs <= sentAt,
  );
  if (oldest === undefined) return undefined;
  if (!isConnectedToStore(record, router, oldest.at, endedAt)) return undefined;
  return versions.filter(
    ({ version, at }) => version >= oldest.version && at <= endedAt,
  );
};

const checkConfigVersion: Check = ({ record, runsOf }) =>
  record.answers.flatMap((answer) => {
    const { requestId, requestType, keyVersion, outcome } = answer;
    const allowed = versionsFor(record, answer);
    if (allowed === undefined) return [];
    const violation = (message: string): SoakViolation => ({
      promise: "configuration",
      requestId,
      message,
    });
    const found: SoakViolation[] = [];
    const runs = runsOf(requestId);
    const isKeyAllowed = allowed.some(({ version }) => version === keyVersion);
    if (keyVersion !== 0 && !isKeyAllowed && runs.length > 0)
      found.push(violation("ran with a revoked key"));
    const isKeyAlwaysValid =
      keyVersion === 0 ||
      allowed.every(({ version }) => version === keyVersion);
    const isKeyRejected = outcome.type === "answered" && outcome.status === 401;
    if (isKeyAlwaysValid && isKeyRejected)
      found.push(violation("a valid key was rejected"));
    const services = new Set(allowed.map(({ service }) => service));
    for (const { service } of runs)
      if (deskRequestTypes.has(requestType) && !services.has(service))
        found.push(
          violation(
            `ran at ${service}, which only older configuration versions route to`,
          ),
        );
    return found;
  });

/** No router process may go back to an older configuration version than one it has applied. */
const checkNoRollback: Check = ({ record, runsOf }) => {
  const acceptedKeys = record.answers.filter(
    ({ requestId, keyVersion }) =>
      keyVersion > 0 && runsOf(requestId).length > 0,
  );
  return acceptedKeys.flatMap(
    ({ requestId, keyVersion, router, life, sentAt }) => {
      const before = acceptedKeys.find(
        (one) =>
          one.router === router &&
          one.life === life &&
          one.keyVersion > keyVersion &&
          one.endedAt + soakBounds.rollbackSlackMs < sentAt,
      );
      if (before === undefined) return [];
      const message = `accepted a key of version ${String(keyVersion)} after a key of version ${String(before.keyVersion)}`;
      return [{ promise: "configuration", requestId, message }];
    },
  );
};

const checkDraining: Check = ({ record, arrivalsOf }) =>
  record.answers.flatMap(({ requestId, router }) =>
    arrivalsOf(requestId).flatMap(({ replica, at }) => {
      const leavingReplica = record.leaving.find(
        (one) => one.replica === replica,
      );
      if (leavingReplica === undefined) return [];
      const lateMs =
        at - leavingReplica.at - soakBounds.drainTimeoutMs - arrivalSlackMs;
      if (
        lateMs <= 0 ||
        !isConnectedToStore(record, router, leavingReplica.at, at)
      )
        return [];
      const message = `reached draining ${replica} ${String(lateMs)} ms too late`;
      return [{ promise: "leaving", requestId, message }];
    }),
  );

const plannedStopsOf = ({ faults }: SoakRecord): readonly FaultSpan[] =>
  faults.filter(
    ({ type }) => type === "routerStop" || restartFaultTypes.has(type),
  );

/** When a router got the signal of a planned stop, at the earliest. */
const signalledAt = ({ type, from }: FaultSpan): number =>
  type === "routerStopBesideBodies"
    ? from + soakBounds.bodiesBeforeStopMs
    : from;

/** Whether a stream that came early in a planned stop was cut at its end, while its replica was at work: it may be taken up elsewhere. */
const outlastsStop = (
  { requestId, router, bodySentAt, outcome }: CallerAnswer,
  runs: readonly RecordedRun[],
  stops: readonly FaultSpan[],
): boolean =>
  outcome.type === "cut" &&
  stops.some(
    (stop) =>
      stop.router === router &&
      bodySentAt <= signalledAt(stop) + soakBounds.earlyInStopMs &&
      runs.some(
        (run) =>
          run.requestId === requestId &&
          run.workedUntil >= signalledAt(stop) + soakBounds.lastSixthMs,
      ),
  );

const checkPlannedStop: Check = ({ record, runsOf }) => {
  const stops = plannedStopsOf(record);
  const unplanned = record.faults.filter(
    ({ type }) => !plannedFaultTypes.has(type) && !silenceTypes.has(type),
  );
  return record.answers.flatMap((answer) => {
    const { requestId, router, sentAt, endedAt, outcome } = answer;
    if (outcome.type !== "cut" || runsOf(requestId).length === 0) return [];
    if (outlastsStop(answer, record.runs, stops)) return [];
    const isStopped = stops.some(
      (stop) =>
        stop.router === router && sentAt < stop.to && endedAt > stop.from,
    );
    const hasUnplannedFault = unplanned.some((span) =>
      overlaps(span, sentAt, endedAt),
    );
    if (!isStopped || hasUnplannedFault) return [];
    const message = `interrupted by the planned stop of router ${String(router)}`;
    return [{ promise: "plannedStop", requestId, message }];
  });
};

/** How a request did not end as it has to beside silences and changes of the configuration; undefined if it did. */
const lossOf = ({
  requestType,
  sentAt,
  endedAt,
  outcome,
}: CallerAnswer): string | undefined => {
  const lateMs = endedAt - sentAt - requestTimeoutMs[requestType];
  switch (outcome.type) {
    case "left":
      return undefined;
    case "cut":
      return "ended without a whole answer or a refusal";
    case "silent":
      return "did not end";
    case "whole":
      break;
    case "answered":
      if (!refusalStatuses.has(outcome.status))
        return `ended with status ${String(outcome.status)}`;
      break;
    default:
      return assertNever(outcome);
  }
  return lateMs > deadlineSlackMs
    ? `ended ${String(lateMs)} ms after its deadline`
    : undefined;
};

/** Whether a request was being sent, or had just been sent, as its router closed the connection in a planned stop: it may be sent again. */
const crossesClose = (
  { router, sentAt, bodySentAt, endedAt, outcome }: CallerAnswer,
  arrivals: readonly Arrival[],
  stops: readonly FaultSpan[],
): boolean =>
  outcome.type === "cut" &&
  arrivals.length === 0 &&
  endedAt - bodySentAt <= soakBounds.lossSlackMs &&
  stops.some(
    (stop) =>
      stop.router === router && stop.from <= sentAt && sentAt <= stop.to,
  );

/** A replica that falls silent for about a second and goes on, or a router that is restarted in the planned way, is no reason to lose a request. */
const checkNotLost: Check = ({ record, arrivalsOf }) => {
  const stops = plannedStopsOf(record);
  const others = record.faults.filter(
    ({ type }) =>
      type !== "configChange" &&
      !silenceTypes.has(type) &&
      !processFaultTypes.has(type),
  );
  return record.answers.flatMap((answer) => {
    const { requestId, sentAt, endedAt } = answer;
    if (others.some((span) => overlaps(span, sentAt, endedAt))) return [];
    if (outlastsStop(answer, record.runs, stops)) return [];
    if (crossesClose(answer, arrivalsOf(requestId), stops)) return [];
    const message = lossOf(answer);
    return message === undefined
      ? []
      : [{ promise: "notLost", requestId, message }];
  });
};

/** Whether a fault keeps a router from ending a run at an endpoint. */
const hindersEnd = (span: FaultSpan, router: number, endpoint: number) =>
  storeFaultTypes.has(span.type) ||
  (span.router === router && outOfTouchTypes.has(span.type)) ||
  (span.replica === endpoint && linkFaultTypes.has(span.type));

/** Until when a run may be at work beside the next one of its request: the time allowed starts anew when a fault no longer excuses. */
const mayWorkUntil = (
  { faults }: SoakRecord,
  router: number,
  endpoint: number,
  nextStartedAt: number,
): number => {
  const { maxContactAgeMs, sharedWorkMs } = soakBounds;
  let until = nextStartedAt + sharedWorkMs;
  const spans = faults
    .filter((span) => hindersEnd(span, router, endpoint))
    .sort((a, b) => a.from - b.from);
  for (const { from, to } of spans) {
    const excusedUntil = to + maxContactAgeMs;
    if (from < until && excusedUntil > nextStartedAt)
      until = Math.max(until, excusedUntil + sharedWorkMs);
  }
  return until;
};

/** No run may go on elsewhere while the one before is at work, if its router can end that one. */
const checkNotTwice: Check = ({ record }) => {
  const byRequest = new Map<string, RecordedRun[]>();
  for (const run of record.runs)
    byRequest.set(run.requestId, [
      ...(byRequest.get(run.requestId) ?? []),
      run,
    ]);
  return record.answers.flatMap(({ requestId, router }) => {
    const runs = byRequest.get(requestId) ?? [];
    return runs.flatMap((before, index): SoakViolation[] => {
      const { replica, endpoint, workedUntil } = before;
      const next = runs
        .slice(index + 1)
        .filter((one) => one.replica !== replica)
        .find(({ startedAt, endedAt = Infinity }) => {
          const bothUntil = Math.min(workedUntil, endedAt);
          return bothUntil > mayWorkUntil(record, router, endpoint, startedAt);
        });
      if (next === undefined) return [];
      const { startedAt } = next;
      const message = `at work at ${replica} for ${String(workedUntil - startedAt)} ms after it went on at ${next.replica}`;
      return [{ promise: "twice", requestId, message }];
    });
  });
};

const checkRecovery: Check = ({ record }) => {
  const newest = record.versions.at(-1)?.version;
  return record.answers.flatMap(
    ({ requestId, sentAt, keyVersion, outcome }) => {
      const isRevoked = keyVersion !== 0 && keyVersion !== newest;
      if (sentAt < record.calmFrom || isRevoked) return [];
      if (outcome.type === "whole" || outcome.type === "left") return [];
      const message = `failed after recovery: ${JSON.stringify(outcome)}`;
      return [{ promise: "recovery", requestId, message }];
    },
  );
};

const checkStaysUp: Check = ({ record }) =>
  record.ownEnds.map(({ router, code, signal, lastOutput }) => ({
    promise: "staysUp",
    requestId: "",
    message: `router ${String(router)} ended with code ${String(code)}, signal ${String(signal)}: ${lastOutput.slice(-shownLineCount).join(" | ")}`,
  }));

const checkMemory: Check = ({ record }) =>
  record.usages
    .filter(({ peakMemoryMb }) => peakMemoryMb > record.memoryMb)
    .map(({ router, peakMemoryMb }) => ({
      promise: "memory",
      requestId: "",
      message: `router ${String(router)} used ${peakMemoryMb.toFixed()} MB of ${String(record.memoryMb)}`,
    }));

const checkDescriptors: Check = ({ record }) => {
  const limit = soakBounds.maxDescriptors - soakBounds.fileDescriptors;
  return record.usages
    .filter(({ descriptorCount }) => descriptorCount > limit)
    .map(({ router, descriptorCount }) => ({
      promise: "descriptors",
      requestId: "",
      message: `router ${String(router)} had ${String(descriptorCount)} descriptors open`,
    }));
};

const checks: readonly Check[] = [
  checkAtMostOnce,
  checkOwnResponse,
  checkAnswered,
  checkNotRun,
  checkRoute,
  checkConfigVersion,
  checkNoRollback,
  checkDraining,
  checkPlannedStop,
  checkNotLost,
  checkNotTwice,
  ({ record }) => checkRetryBudget(record),
  checkRecovery,
  checkStaysUp,
  checkMemory,
  checkDescriptors,
];

/** Returns all violations of a soak test. */
export const checkSoak = (record: SoakRecord): SoakViolation[] => {
  const byRequest = new Map<string, Arrival[]>();
  for (const arrival of record.arrivals) {
    const known = byRequest.get(arrival.requestId);
    if (known === undefined) byRequest.set(arrival.requestId, [arrival]);
    else known.push(arrival);
  }
  const arrivalsOf = (requestId: string) => byRequest.get(requestId) ?? [];
  const runsOf = (requestId: string) =>
    arrivalsOf(requestId).filter(({ hasRun }) => hasRun);
  return checks.flatMap((check) => check({ record, arrivalsOf, runsOf }));
};
