/** Encodes and decodes the datagrams of routers as MessagePack. */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import { pack, unpack } from "msgpackr";
import { isAmount, isName, maxDatagramBytes } from "./peerValues.js";
import { decodeRolloutReport } from "./rolloutReports.js";
import { maxRemembered } from "../decisions/quarantine/constants.js";
import type { ReturnedReplica } from "../decisions/adoptedReplicas/types.js";
import type { StreamOrigin } from "../decisions/versions/types.js";
import type { RolloutReport } from "../decisions/rollout/types.js";
import type { GossipItem } from "../decisions/gossip/types.js";

/** Content of a datagram. */
export type PeerMessage =
  | { readonly type: "ask" | "lend"; readonly service: string }
  | { readonly type: "gossip"; readonly items: readonly GossipItem[] }
  | { readonly type: "askOrigin"; readonly key: string }
  | { readonly type: "askHandover"; readonly services: readonly string[] }
  | {
      readonly type: "offerHandover";
      readonly services: readonly string[];
      readonly freePlaces: number;
    }
  | { readonly type: "origins"; readonly origins: readonly StreamOrigin[] }
  | {
      readonly type: "returns";
      readonly returned: readonly ReturnedReplica[];
    }
  | { readonly type: "rollout"; readonly report: RolloutReport };

const maxItemCount = 100; // of the shortest items, a datagram holds fewer

const isBlockList = (value: unknown): value is string[] =>
  Array.isArray(value) &&
  value.length > 0 &&
  value.length <= maxRemembered.blocksPerSuspect &&
  value.every(isName);

// Clocks of hosts differ, so times are sent as ages.
const encodeItem = (item: GossipItem, at: Timestamp): readonly unknown[] => {
  switch (item.type) {
    case "engineCrash": {
      const { type, process, request, blockIds } = item;
      return [type, at - item.at, process, request, blockIds];
    }
    case "succeededBlocks":
      return [item.type, at - item.at, item.blockIds];
    case "quarantine": {
      const { type, blockIds, holdCount, crashCount, source } = item;
      const heldForMs = Math.max(0, item.heldUntil - at);
      const ages = [at - item.crashedAt, heldForMs];
      return [type, ...ages, blockIds, holdCount, crashCount, source];
    }
    case "requestLimit": {
      const { type, replica, startedAt, perS, source } = item;
      return [type, at - item.at, replica, startedAt, perS ?? null, source];
    }
    case "softwareVersion":
      return [item.type, at - item.at, item.service, item.version];
    case "replicaLeaving": {
      const { type, replica, startedAt, source } = item;
      return [type, at - item.at, replica, startedAt, source];
    }
    default:
      return assertNever(item);
  }
};

const decodeItem = (
  value: unknown,
  receivedAt: Timestamp,
): GossipItem | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [type, ageMs, ...rest] = value as readonly unknown[];
  if (!isAmount(ageMs)) return undefined;
  const at = receivedAt - ageMs;
  if (type === "engineCrash") {
    const [process, request, blockIds] = rest;
    return isName(process) && isName(request) && isBlockList(blockIds)
      ? { type, process, at, request, blockIds }
      : undefined;
  }
  if (type === "succeededBlocks") {
    const [blockIds] = rest;
    return isBlockList(blockIds) ? { type, at, blockIds } : undefined;
  }
  if (type === "requestLimit") {
    const [replica, startedAt, limit, source] = rest;
    if (!isName(replica) || !isAmount(startedAt) || !isName(source))
      return undefined;
    if (limit !== null && !isAmount(limit)) return undefined;
    return { type, replica, startedAt, perS: limit ?? undefined, at, source };
  }
  if (type === "replicaLeaving") {
    const [replica, startedAt, source] = rest;
    return isName(replica) && isAmount(startedAt) && isName(source)
      ? { type, replica, startedAt, at, source }
      : undefined;
  }
  if (type === "softwareVersion") {
    const [service, version] = rest;
    return isName(service) && isName(version)
      ? { type, service, version, at }
      : undefined;
  }
  if (type !== "quarantine") return undefined;
  const [heldForMs, blockIds, holdCount, crashCount, source] = rest;
  if (!isAmount(heldForMs) || !isBlockList(blockIds)) return undefined;
  if (!isAmount(holdCount) || !isAmount(crashCount) || !isName(source))
    return undefined;
  const heldUntil = receivedAt + heldForMs;
  const counts = { holdCount, crashCount };
  return { type, blockIds, crashedAt: at, heldUntil, ...counts, source };
};

const isOriginPair = (value: unknown): value is [string, string | null] => {
  if (!Array.isArray(value)) return false;
  const [key, version] = value as readonly unknown[];
  return isName(key) && (version === null || isName(version));
};

const decodeOrigins = (content: unknown): PeerMessage | undefined => {
  if (!Array.isArray(content) || content.length > maxItemCount)
    return undefined;
  const pairs: readonly unknown[] = content;
  if (!pairs.every(isOriginPair)) return undefined;
  const origins = pairs.map(([key, version]) => ({
    key,
    version: version ?? undefined,
  }));
  return { type: "origins", origins };
};

const maxPort = 65_535;

const decodeReturn = (
  value: unknown,
  receivedAt: Timestamp,
): ReturnedReplica | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [ageMs, id, startedAt, host, port] = value as readonly unknown[];
  if (!isAmount(ageMs) || !isName(id) || id === "") return undefined;
  if (!isAmount(startedAt) || !isName(host)) return undefined;
  if (!isAmount(port) || port > maxPort) return undefined;
  return { id, startedAt, host, port, seenAt: receivedAt - ageMs };
};

const decodeReturns = (
  content: unknown,
  receivedAt: Timestamp,
): PeerMessage | undefined => {
  if (!Array.isArray(content) || content.length > maxItemCount)
    return undefined;
  const returned = content
    .map((item) => decodeReturn(item, receivedAt))
    .filter((item) => item !== undefined);
  return returned.length === content.length
    ? { type: "returns", returned }
    : undefined;
};

const isNameList = (value: unknown): value is string[] =>
  Array.isArray(value) && value.length <= maxItemCount && value.every(isName);

const decodeOffer = (content: unknown): PeerMessage | undefined => {
  if (!Array.isArray(content)) return undefined;
  const [services, freePlaces] = content as readonly unknown[];
  return isNameList(services) && isAmount(freePlaces)
    ? { type: "offerHandover", services, freePlaces }
    : undefined;
};

/** Decodes a datagram; undefined if any part is malformed. */
export const decodePeerMessage = (
  bytes: Uint8Array,
  receivedAt: Timestamp,
): PeerMessage | undefined => {
  let value: unknown;
  try {
    value = unpack(bytes);
  } catch {
    return undefined;
  }
  if (!Array.isArray(value)) return undefined;
  const [type, content] = value as readonly unknown[];
  if (type === "ask" || type === "lend")
    return isName(content) ? { type, service: content } : undefined;
  if (type === "askOrigin")
    return isName(content) ? { type, key: content } : undefined;
  if (type === "origins") return decodeOrigins(content);
  if (type === "returns") return decodeReturns(content, receivedAt);
  if (type === "askHandover")
    return isNameList(content) ? { type, services: content } : undefined;
  if (type === "offerHandover") return decodeOffer(content);
  if (type === "rollout") {
    const report = decodeRolloutReport(content);
    return report && { type, report };
  }
  if (type !== "gossip" || !Array.isArray(content)) return undefined;
  if (content.length > maxItemCount) return undefined;
  const items = content
    .map((item) => decodeItem(item, receivedAt))
    .filter((item) => item !== undefined);
  return items.length === content.length ? { type, items } : undefined;
};

/** Encodes a request to lend a retry, or a lent one. */
export const encodeLendingMessage = ({
  type,
  service,
}: Extract<PeerMessage, { readonly service: string }>): Uint8Array =>
  pack([type, service]);

/** Encodes a question for offers to take requests over. */
export const encodeHandoverQuestion = (
  services: readonly string[],
): Uint8Array => pack(["askHandover", services.slice(0, maxItemCount)]);

/** Encodes an offer to take requests over. */
export const encodeHandoverOffer = (
  services: readonly string[],
  freePlaces: number,
): Uint8Array =>
  pack(["offerHandover", [services.slice(0, maxItemCount), freePlaces]]);

/** Splits encoded entries into as few datagrams as they fit. */
const packAll = (
  type: "gossip" | "origins" | "returns",
  entries: readonly (readonly unknown[])[],
): Uint8Array[] => {
  const datagrams: (readonly unknown[])[][] = [];
  let bytes = Infinity;
  for (const encoded of entries) {
    const { length } = pack(encoded);
    bytes += length;
    if (bytes > maxDatagramBytes) {
      datagrams.push([]);
      bytes = length;
    }
    datagrams.at(-1)?.push(encoded);
  }
  return datagrams.map((content) => pack([type, content]));
};

/** Encodes items of gossip into as few datagrams as they fit. */
export const encodeGossip = (
  items: readonly GossipItem[],
  at: Timestamp,
): Uint8Array[] =>
  packAll(
    "gossip",
    items.map((item) => encodeItem(item, at)),
  );

/** Encodes where streams began into as few datagrams as they fit. */
export const encodeOrigins = (origins: readonly StreamOrigin[]): Uint8Array[] =>
  packAll(
    "origins",
    origins.map(({ key, version }) => [key, version ?? null]),
  );

/**
 * Encodes replicas that are back into as few datagrams as they fit. No items of gossip:
 * routers that do not know this type would drop the others with it.
 */
export const encodeReturns = (
  returned: readonly ReturnedReplica[],
  at: Timestamp,
): Uint8Array[] =>
  packAll(
    "returns",
    returned.map(({ id, startedAt, host, port, seenAt }) => [
      Math.max(0, at - seenAt),
      id,
      startedAt,
      host,
      port,
    ]),
  );

/** Encodes a question where a stream began. */
export const encodeOriginQuestion = (key: string): Uint8Array =>
  pack(["askOrigin", key]);
