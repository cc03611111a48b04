/** Encodes the messages of shared watches as MessagePack. */

import { pack, unpack } from "msgpackr";
import type { SharedChange, SharedMessage } from "./types.js";

const isNumber = (value: unknown): value is number =>
  typeof value === "number" && Number.isFinite(value);

const unpackList = (bytes: Uint8Array): readonly unknown[] | undefined => {
  try {
    const value: unknown = unpack(bytes);
    return Array.isArray(value) ? value : undefined;
  } catch {
    return undefined;
  }
};

const encodeChange = (change: SharedChange): readonly unknown[] => {
  switch (change.type) {
    case "put": {
      const { key, value, createRevision, modRevision, lease } = change.entry;
      return ["put", key, modRevision, value, createRevision, lease];
    }
    case "putWithoutValue":
    case "delete":
      return [change.type, change.key, change.modRevision];
  }
};

const decodeChange = (value: unknown): SharedChange | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [type, key, modRevision, text, createRevision, lease] =
    value as readonly unknown[];
  if (typeof key !== "string" || !isNumber(modRevision)) return undefined;
  if (type === "delete" || type === "putWithoutValue")
    return { type, key, modRevision };
  if (type !== "put" || typeof text !== "string") return undefined;
  if (!isNumber(createRevision) || typeof lease !== "string") return undefined;
  const entry = { key, value: text, createRevision, modRevision, lease };
  return { type: "put", entry };
};

/** Encodes a message to a follower. */
export const encodeSharedMessage = (message: SharedMessage): Uint8Array =>
  message.type === "compacted"
    ? pack(["compacted"])
    : pack([
        "changes",
        message.revision,
        message.ageMs,
        message.changes.map(encodeChange),
      ]);

/** Decodes a message to a follower; undefined if any part is malformed. */
export const decodeSharedMessage = (
  bytes: Uint8Array,
): SharedMessage | undefined => {
  const [type, revision, ageMs, changes] = unpackList(bytes) ?? [];
  if (type === "compacted") return { type };
  if (type !== "changes" || !isNumber(revision)) return undefined;
  if (!isNumber(ageMs) || ageMs < 0 || !Array.isArray(changes))
    return undefined;
  const decoded = changes
    .map(decodeChange)
    .filter((change) => change !== undefined);
  if (decoded.length !== changes.length) return undefined;
  return { type, revision, ageMs, changes: decoded };
};

/** Encodes a follower's request for all changes after a revision. */
export const encodeFollowRequest = (after: number): Uint8Array =>
  pack(["follow", after]);

/** Decodes a follower's request; undefined if it is malformed. */
export const decodeFollowRequest = (bytes: Uint8Array): number | undefined => {
  const [type, after] = unpackList(bytes) ?? [];
  return type === "follow" && isNumber(after) ? after : undefined;
};
