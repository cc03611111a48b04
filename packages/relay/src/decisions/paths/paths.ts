/**
 * Finds out whether this router has lost its path to the replicas of a service. Load
 * pattern: the links of some routers to all replicas are cut while callers and other
 * routers reach them; connections hang, are refused, or live on while new ones fail.
 * One replica that ends, a zone that is lost, and replicas that are silent for a second
 * look the same at one connection, and leave others that can be connected to.
 */

import { Severity } from "@cardamomglade/observe";
import type { Replica } from "../../types.js";
import { isOpen } from "../backOff/backOffs.js";
import type { RelayCommand } from "../commands.js";
import { logLine } from "../logLine.js";
import { sampleWithoutReplacement } from "../random.js";
import { ageOf, hasEnded, replicasOf } from "../replicaViews.js";
import type { RelayState, ReplicaView } from "../types.js";
import {
  lostPathProbeCount,
  lostPathProbeIntervalMs,
  pathDoubtTimeoutMs,
  pathProbeCount,
} from "./constants.js";
import type { Path } from "./types.js";

/** The path to a service's replicas. */
export const pathOf = ({ paths }: RelayState, service: string): Path => {
  const known = paths.get(service);
  if (known !== undefined) return known;
  const path: Path = { state: { type: "open" }, connectedAt: -Infinity };
  paths.set(service, path);
  return path;
};

/** Whether no replica of a service can be connected to from here. */
export const isPathLost = ({ paths }: RelayState, service: string): boolean =>
  paths.get(service)?.state.type === "lost";

/** Number of services to whose replicas this router has no path. */
export const lostPathCount = ({ paths }: RelayState): number =>
  [...paths.values()].filter(({ state }) => state.type === "lost").length;

/** Milliseconds since a connection to the service was last established; undefined before the first. */
export const connectedMsAgo = (
  state: RelayState,
  service: string,
): number | undefined => {
  const { connectedAt } = pathOf(state, service);
  return ageOf(state, Math.max(0, connectedAt));
};

const connectTo = (
  state: RelayState,
  views: readonly ReplicaView[],
): RelayCommand[] =>
  views.map(({ replica }) => ({
    type: "probeConnection",
    replica,
    sentAt: state.at,
  }));

/** Replicas to try: those that were heard of last, and one at random, as those may have ended together. */
const likelyReachable = (
  state: RelayState,
  views: readonly ReplicaView[],
): ReplicaView[] => {
  const latest = [...views]
    .sort((a, b) => b.heardAt - a.heardAt)
    .slice(0, pathProbeCount - 1);
  const others = views.filter((view) => !latest.includes(view));
  return [...latest, ...sampleWithoutReplacement(state, others, 1)];
};

/** Ends the suspicion of replicas that were lost with the path. */
const trustReplicas = (
  state: RelayState,
  service: string,
  since: number,
): void => {
  for (const view of replicasOf(state, service))
    if (view.lastLossAt >= since) view.suspectUntil = 0;
};

/** Notes that a connection to a replica of the service was established: the path is open. */
export const connectionSucceeded = (
  state: RelayState,
  service: string,
): RelayCommand[] => {
  const path = pathOf(state, service);
  path.connectedAt = state.at;
  const before = path.state;
  path.state = { type: "open" };
  if (before.type !== "lost") return [];
  trustReplicas(state, service, before.since);
  return [
    logLine("path to replicas regained", {
      service,
      lostForMs: Math.round(state.at - before.since),
    }),
  ];
};

/** Gives attempts up whose connection has not been established. */
const abandonUnconnected = (
  state: RelayState,
  service: string,
): RelayCommand[] =>
  [...state.exchanges.values()].flatMap((exchange) => {
    const { key, attempt } = exchange;
    return exchange.service === service && attempt?.isConnected === false
      ? [{ type: "abandonUnconnected" as const, key, attempt: attempt.number }]
      : [];
  });

const losePath = (
  state: RelayState,
  service: string,
  path: Path,
): RelayCommand[] => {
  path.state = { type: "lost", since: state.at, nextProbeAt: state.at };
  return [
    logLine(
      "path to replicas lost",
      {
        service,
        connectedMsAgo: connectedMsAgo(state, service),
        replicas: replicasOf(state, service).length,
      },
      Severity.Warn,
    ),
    ...abandonUnconnected(state, service),
  ];
};

/**
 * Notes that a connection to a replica, begun at a time, was not established. Other
 * replicas are tried, unless one was connected to since then.
 */
export const connectionFailed = (
  state: RelayState,
  { id, service }: Replica,
  begunAt: number,
): RelayCommand[] => {
  const path = pathOf(state, service);
  if (path.state.type !== "open" || path.connectedAt > begunAt) return [];
  const others = replicasOf(state, service).filter(
    (view) =>
      view.replica.id !== id && isOpen(state, view) && !hasEnded(state, view),
  );
  const tried = likelyReachable(state, others);
  if (tried.length === 0) return [];
  path.state = {
    type: "doubted",
    since: state.at,
    pending: new Set(tried.map(({ replica }) => replica.id)),
    until: state.at + pathDoubtTimeoutMs,
  };
  return connectTo(state, tried);
};

/**
 * Tries other replicas when two are silent and nothing was heard of any for as long: their
 * streams are handed on as soon as they have to leave. Load pattern: a router is cut from
 * all replicas in the middle of its streams.
 */
export const doubtSilentPath = (
  state: RelayState,
  replica: Replica,
  silentSince: number,
): RelayCommand[] => {
  const views = replicasOf(state, replica.service);
  const isHeard = views.some(({ heardAt }) => heardAt > silentSince);
  const isOneOfSeveral = views.some(
    (view) => view.replica.id !== replica.id && view.probeSentAt !== undefined,
  );
  return isHeard || !isOneOfSeveral
    ? []
    : connectionFailed(state, replica, silentSince);
};

/** Notes that a replica that was tried could not be connected to. */
export const pathProbeFailed = (
  state: RelayState,
  replicaId: string,
): RelayCommand[] => {
  const service = state.replicas.get(replicaId)?.replica.service;
  if (service === undefined) return [];
  const path = pathOf(state, service);
  if (path.state.type !== "doubted") return [];
  const { pending } = path.state;
  return pending.delete(replicaId) && pending.size === 0
    ? losePath(state, service, path)
    : [];
};

const probeLostPath = (state: RelayState, service: string): RelayCommand[] => {
  const open = replicasOf(state, service).filter((view) => isOpen(state, view));
  return connectTo(
    state,
    sampleWithoutReplacement(state, open, lostPathProbeCount),
  );
};

/** Tries replicas whose path is lost, and ends doubts whose probes were not heard of. */
export const maintainPaths = (state: RelayState): RelayCommand[] =>
  [...state.paths].flatMap(([service, path]) => {
    const { state: current } = path;
    if (current.type === "doubted" && state.at >= current.until)
      return losePath(state, service, path);
    if (current.type !== "lost" || state.at < current.nextProbeAt) return [];
    current.nextProbeAt = state.at + lostPathProbeIntervalMs;
    return probeLostPath(state, service);
  });

/** Forgets services without replicas. */
export const forgetPaths = (state: RelayState): void => {
  const services = new Set(
    [...state.replicas.values()].map(({ replica }) => replica.service),
  );
  for (const service of state.paths.keys())
    if (!services.has(service)) state.paths.delete(service);
};
