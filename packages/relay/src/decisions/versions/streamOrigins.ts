/**
 * Remembers at which software version streams began, at some routers that follow
 * from the stream's key. Load pattern: a router is lost with its streams, and their
 * callers come to any other one, while the service has several versions.
 */

import { rendezvousOrder, type Timestamp } from "@cardamomglade/common";
import type { Address } from "../../types.js";
import { formatAddress } from "../../types.js";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { isKnownRouter } from "../registration.js";
import { removeOldest } from "../removeOldest.js";
import type { Exchange, RelayState } from "../types.js";
import {
  maxStreamLifetimeMs,
  maxVersions,
  originQueryTimeoutMs,
  streamKeeperCount,
} from "./constants.js";
import type { OriginQuery, OriginsByRouter, StreamOrigin } from "./types.js";

/** Key of a stream that a caller's attempt began; undefined if it is too long to be told. */
const keyOf = (
  { service, customer }: Exchange,
  requestId: string,
): string | undefined => {
  const key = JSON.stringify([service, customer ?? null, requestId]);
  return requestId === "" || key.length > maxVersions.keyLength
    ? undefined
    : key;
};

/** Key of the stream that an exchange serves, or takes up; undefined if the caller names none. */
export const streamKeyOf = (exchange: Exchange): string | undefined => {
  const { requestId, resumes, lastEventId = 0 } = exchange.request;
  const first = lastEventId > 0 ? resumes : requestId;
  return first === undefined ? undefined : keyOf(exchange, first);
};

const keepOrigin = (
  { versions: { origins }, at }: RelayState,
  key: string,
  version: string,
): void => {
  origins.delete(key);
  origins.set(key, { version, learnedAt: at });
  const isOld = ({ learnedAt }: { readonly learnedAt: Timestamp }) =>
    at - learnedAt > maxStreamLifetimeMs;
  removeOldest(origins, maxVersions.streams, isOld);
};

/** Addresses of the other routers that keep the origin of a stream. */
const keepersOf = (state: RelayState, key: string): Address[] => {
  const { router, registration, address } = state;
  if (address === undefined) return [];
  const routers = [...registration.routers.keys()];
  return rendezvousOrder(key, routers)
    .slice(0, streamKeeperCount)
    .filter((name) => name !== router)
    .map((name) => registration.routers.get(name)?.address)
    .filter((one) => one !== undefined);
};

/** Tells a router where streams began. */
export const tellOrigins = (
  to: Address,
  origins: readonly StreamOrigin[],
): RelayCommand => ({
  type: "tellOrigins",
  to,
  origins,
});

/** Keeps where a stream began, and tells the routers that its caller may ask for it. */
export const recordOrigin = (
  state: RelayState,
  exchange: Exchange,
  version: string,
  isTold: boolean,
): RelayCommand[] => {
  const key = streamKeyOf(exchange);
  if (key === undefined) return [];
  keepOrigin(state, key, version);
  return isTold
    ? keepersOf(state, key).map((to) => tellOrigins(to, [{ key, version }]))
    : [];
};

/** Tells where the streams of a service began that are under way: it has another version now. */
export const tellRunningOrigins = (
  state: RelayState,
  service: string,
): RelayCommand[] => {
  const byRouter: OriginsByRouter = new Map();
  for (const exchange of state.exchanges.values()) {
    const { softwareVersion: version } = exchange;
    const key = streamKeyOf(exchange);
    if (exchange.service !== service) continue;
    if (version === undefined || key === undefined) continue;
    for (const to of keepersOf(state, key)) {
      const origins = byRouter.get(to) ?? [];
      origins.push({ key, version });
      byRouter.set(to, origins);
    }
  }
  return [...byRouter].map(([to, origins]) => tellOrigins(to, origins));
};

/** A question to other routers, and the commands that ask it. */
interface AskedOrigin {
  /** Undefined if no router may know. */
  readonly originQuery: OriginQuery | undefined;
  readonly commands: RelayCommand[];
}

/** Asks the routers that may know where a caller's stream began. */
export const askOrigin = (
  state: RelayState,
  exchange: Exchange,
): AskedOrigin => {
  const key = streamKeyOf(exchange);
  const keepers = key === undefined ? [] : keepersOf(state, key);
  if (key === undefined || keepers.length === 0)
    return { originQuery: undefined, commands: [] };
  const originQuery = {
    key,
    askedCount: keepers.length,
    pending: new Set(keepers.map(formatAddress)),
    until: state.at + originQueryTimeoutMs,
  };
  const commands = keepers.map((to): RelayCommand => ({
    type: "askOrigin",
    to,
    key,
  }));
  return { originQuery, commands };
};

/** Keeps what another router told; returns the exchanges that waited for it. */
export const learnOrigins = (
  state: RelayState,
  { from, origins }: RelayEventOf<"originsTold">,
): Exchange[] => {
  if (!isKnownRouter(state, from)) return [];
  const told = new Set(origins.map(({ key }) => key));
  for (const { key, version } of origins)
    if (version !== undefined) keepOrigin(state, key, version);
  return [...state.exchanges.values()].filter(({ wait }) => {
    const originQuery = wait.type === "answers" ? wait.originQuery : undefined;
    if (originQuery === undefined || !told.has(originQuery.key)) return false;
    if (state.versions.origins.has(originQuery.key))
      originQuery.pending.clear();
    return (
      originQuery.pending.delete(formatAddress(from)) ||
      originQuery.pending.size === 0
    );
  });
};
