/**
 * Knows which software versions a service had lately. Load pattern: replicas of two
 * versions serve side by side, or those of the old one have just left, while routers
 * start again or are cut off from the store.
 */

import type { Timestamp } from "@cardamomglade/common";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { publishItem } from "../gossip/spreadGossip.js";
import type { SoftwareVersionItem } from "../gossip/types.js";
import { logLine } from "../logLine.js";
import { rankOf } from "../registration.js";
import { removeOldest } from "../removeOldest.js";
import type { RelayState } from "../types.js";
import {
  maxStreamLifetimeMs,
  maxVersions,
  streamLifetimeFactor,
  unknownSoftwareVersion,
  versionCheckIntervalMs,
  versionRenewBeforeMs,
  versionWriteSpacingMs,
} from "./constants.js";
import { tellRunningOrigins } from "./streamOrigins.js";
import type { VersionState } from "./types.js";

/** Creates the state of a router that has seen no replica. */
export const createVersionState = (): VersionState => ({
  lastSeenAt: new Map(),
  registered: new Map(),
  announced: new Set(),
  stored: new Map(),
  writtenUntil: new Map(),
  nextWriteAt: new Map(),
  nextCheckAt: 0,
  origins: new Map(),
  refusedCount: 0,
});

/** Time for which callers may take up a stream of the service after it began. */
const streamLifetimeMs = ({ config }: RelayState, service: string): number => {
  const timeouts = (config?.routes ?? [])
    .filter(({ targets }) => targets.some((one) => one.service === service))
    .map(({ timeoutMs }) => timeoutMs);
  return Math.min(
    maxStreamLifetimeMs,
    streamLifetimeFactor * Math.max(0, ...timeouts),
  );
};

/** Versions at which streams of the service may have begun that are not over yet. */
export const versionsOf = (state: RelayState, service: string): string[] => {
  const seen = state.versions.lastSeenAt.get(service);
  if (seen === undefined) return [];
  const oldestAt = state.at - streamLifetimeMs(state, service);
  return [...seen].filter(([, at]) => at >= oldestAt).map(([one]) => one);
};

/** Whether streams of the service may have begun at different versions. */
export const hasSeveralVersions = (
  state: RelayState,
  service: string,
): boolean => {
  const count = state.versions.lastSeenAt.get(service)?.size ?? 0;
  return count > 1 && versionsOf(state, service).length > 1;
};

/** The same versions without the unknown one, which means something only in this process. */
const toldVersionsOf = (state: RelayState, service: string): string[] =>
  versionsOf(state, service).filter((one) => one !== unknownSoftwareVersion);

const itemsOf = (state: RelayState, service: string): SoftwareVersionItem[] => {
  const seen = state.versions.lastSeenAt.get(service);
  return toldVersionsOf(state, service).map((version) => ({
    type: "softwareVersion",
    service,
    version,
    at: seen?.get(version) ?? state.at,
  }));
};

/** Versions of the services that have several, as other routers are told of them. */
export const versionItems = (state: RelayState): SoftwareVersionItem[] =>
  [...state.versions.announced].flatMap((service) => itemsOf(state, service));

/** Notes a version; returns whether it was not known. */
const noteVersion = (
  { versions: { lastSeenAt } }: RelayState,
  service: string,
  version: string,
  at: Timestamp,
): boolean => {
  const seen = lastSeenAt.get(service) ?? new Map<string, Timestamp>();
  lastSeenAt.set(service, seen);
  const known = seen.get(version);
  if (known !== undefined && known >= at) return false;
  seen.delete(version);
  seen.set(version, at);
  removeOldest(seen, maxVersions.perService, () => false);
  removeOldest(lastSeenAt, maxVersions.services, () => false);
  return known === undefined;
};

/** Notes a version that a replica has which this router read of itself. */
const noteRegistered = (
  { versions: { registered }, at }: RelayState,
  service: string,
  version: string,
): void => {
  const known = registered.get(service) ?? new Map<string, Timestamp>();
  known.delete(version);
  registered.set(service, known.set(version, at));
  removeOldest(known, maxVersions.perService, () => false);
  removeOldest(registered, maxVersions.services, () => false);
};

/** Whether a version was told of, and this router has read of no replica that has it. */
export const isVersionUnread = (
  { versions: { registered } }: RelayState,
  service: string,
  version: string,
): boolean => registered.get(service)?.has(version) !== true;

/** Time at which this router last read of a replica that has the version. */
export const versionReadAt = (
  { versions: { registered } }: RelayState,
  service: string,
  version: string,
): Timestamp => registered.get(service)?.get(version) ?? -Infinity;

/** Logs and tells others when a service gets several versions, or has one again. */
const announceChange = (
  state: RelayState,
  service: string,
  source: string,
): RelayCommand[] => {
  const { announced } = state.versions;
  const isSeveral = hasSeveralVersions(state, service);
  if (isSeveral === announced.has(service)) return [];
  if (isSeveral) announced.add(service);
  else announced.delete(service);
  const softwareVersions = versionsOf(state, service);
  const message = isSeveral
    ? "service has several software versions"
    : "service has one software version";
  const line = logLine(message, {
    service,
    softwareVersions,
    learnedFrom: source,
  });
  if (!isSeveral) return [line];
  for (const item of itemsOf(state, service)) publishItem(state, item);
  return [line, ...tellRunningOrigins(state, service)];
};

/** Forgets the unknown version once no replica is used without its entry. */
const forgetUnknown = ({
  adoption: { adopted },
  versions: { lastSeenAt },
}: RelayState): void => {
  if (adopted.size > 0) return;
  for (const seen of lastSeenAt.values()) seen.delete(unknownSoftwareVersion);
};

/** Notes the versions of all replicas. */
export const noteReplicaVersions = (state: RelayState): RelayCommand[] => {
  for (const { replica, leftAt } of state.replicas.values()) {
    if (leftAt !== undefined) continue;
    const { service, softwareVersion } = replica;
    noteVersion(state, service, softwareVersion, state.at);
    noteRegistered(state, service, softwareVersion);
  }
  forgetUnknown(state);
  return [...state.versions.lastSeenAt.keys()].flatMap((service) =>
    announceChange(state, service, state.router),
  );
};

/** Takes over a version that another router saw. */
export const learnVersion = (
  state: RelayState,
  item: SoftwareVersionItem,
): RelayCommand[] => {
  const { service, version, at } = item;
  if (noteVersion(state, service, version, at)) publishItem(state, item);
  return announceChange(state, service, "another router");
};

/** Applies the store's entries: a router that starts learns of versions that have left. */
export const versionsRead = (
  state: RelayState,
  { entries }: RelayEventOf<"versionsRead">,
): RelayCommand[] => {
  const { versions, at } = state;
  versions.stored = new Map(entries.map((one) => [one.service, one.versions]));
  return entries.flatMap((entry) => {
    const seen = versions.lastSeenAt.get(entry.service);
    for (const version of entry.versions)
      if (seen?.has(version) !== true)
        noteVersion(state, entry.service, version, at);
    return announceChange(state, entry.service, "store");
  });
};

/** Whether the store has no entry with all versions that lasts. */
const isWriteNeeded = (state: RelayState, service: string): boolean => {
  const { stored, writtenUntil } = state.versions;
  const known = stored.get(service) ?? [];
  const told = toldVersionsOf(state, service);
  if (told.length < 2 && !stored.has(service)) return false;
  const isMissing = told.some((one) => !known.includes(one));
  const until = writtenUntil.get(service);
  return (
    isMissing ||
    (until !== undefined && state.at >= until - versionRenewBeforeMs)
  );
};

/** Writes the versions of a service that has several: by the first in the order of routers, else by the next. */
const writeVersions = (state: RelayState, service: string): RelayCommand[] => {
  const { nextWriteAt, writtenUntil } = state.versions;
  if (!isWriteNeeded(state, service)) {
    nextWriteAt.delete(service);
    return [];
  }
  const rank = rankOf(state, service);
  const dueAt =
    nextWriteAt.get(service) ?? state.at + rank * versionWriteSpacingMs;
  nextWriteAt.set(service, dueAt);
  if (state.at < dueAt || state.store.type !== "available") return [];
  nextWriteAt.set(service, state.at + versionWriteSpacingMs);
  const until =
    state.at + streamLifetimeMs(state, service) + versionRenewBeforeMs;
  writtenUntil.set(service, until);
  const entry = { service, versions: toldVersionsOf(state, service) };
  return [{ type: "storeVersions", entry, until }];
};

/** Notes versions, and keeps those of services with several in the store. */
export const maintainVersions = (state: RelayState): RelayCommand[] => {
  const { versions, at } = state;
  if (at < versions.nextCheckAt) return [];
  versions.nextCheckAt = at + versionCheckIntervalMs;
  const commands = noteReplicaVersions(state);
  for (const service of versions.writtenUntil.keys())
    if (!versions.announced.has(service)) versions.writtenUntil.delete(service);
  return [
    ...commands,
    ...[...versions.announced].flatMap((one) => writeVersions(state, one)),
  ];
};
