/** Encodes the messages of shared watches as MessagePack. */

import { pack, unpack } from "msgpackr";
import { onlyEra } from "../storePosition.js";
import type {
  FollowerMessage,
  OutcomesMessage,
  SharedBucket,
  SharedChange,
  SharedMessage,
  SharedOutcomes,
  SharedTimes,
} from "./types.js";

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

const maxSharedCount = 1_000_000; // more requests than a replica answers between two messages

const isCount = (value: unknown): value is number =>
  isNumber(value) && value >= 0 && value <= maxSharedCount;

/** Decodes each item; undefined if any is malformed. */
const decodeAll = <T>(
  items: unknown,
  decode: (item: unknown) => T | undefined,
): T[] | undefined => {
  if (!Array.isArray(items)) return undefined;
  const decoded = items.map(decode).filter((item) => item !== undefined);
  return decoded.length === items.length ? decoded : undefined;
};

const maxSharedBucket = 255; // ranges of times that a later version may use

const isBucket = (value: unknown): value is number =>
  Number.isInteger(value) && isCount(value) && value <= maxSharedBucket;

const encodeTimes = ({
  timeClass,
  buckets,
}: SharedTimes): readonly unknown[] => [
  timeClass,
  ...buckets.flatMap(({ bucket, count }) => [bucket, count]),
];

const decodeTimes = (value: unknown): SharedTimes | undefined => {
  if (!Array.isArray(value)) return undefined;
  const [timeClass, ...numbers] = value as readonly unknown[];
  if (typeof timeClass !== "string") return undefined;
  const buckets: SharedBucket[] = [];
  for (let index = 0; index < numbers.length; index += 2) {
    const bucket = numbers[index];
    const count = numbers[index + 1];
    if (!isBucket(bucket) || !isCount(count)) return undefined;
    buckets.push({ bucket, count });
  }
  return { timeClass, buckets };
};

const decodeOutcome = (value: unknown): SharedOutcomes | undefined => {
  if (!Array.isArray(value)) return undefined;
  // Routers of versions that tell no times leave them out.
  const [replica, succeeded, failed, items = []] = value as readonly unknown[];
  if (typeof replica !== "string") return undefined;
  if (!isCount(succeeded) || !isCount(failed)) return undefined;
  // Times of a form that this version does not know are left out.
  const times = decodeAll(items, decodeTimes) ?? [];
  return { replica, succeeded, failed, times };
};

const encodeOutcomes = ({ type, outcomes }: OutcomesMessage): Uint8Array =>
  pack([
    type,
    outcomes.map(({ replica, succeeded, failed, times }) => [
      replica,
      succeeded,
      failed,
      ...(times.length === 0 ? [] : [times.map(encodeTimes)]),
    ]),
  ]);

const decodeOutcomes = (items: unknown): OutcomesMessage | undefined => {
  const outcomes = decodeAll(items, decodeOutcome);
  return outcomes && { type: "outcomes", outcomes };
};

/** Encodes a message to a follower. */
export const encodeSharedMessage = (message: SharedMessage): Uint8Array => {
  switch (message.type) {
    case "outcomes":
      return encodeOutcomes(message);
    case "compacted":
    case "behind":
      return pack([message.type]);
    case "changes": {
      const { type, era, revision, ageMs, changes } = message;
      return pack([type, revision, ageMs, changes.map(encodeChange), era]);
    }
  }
};

/** Decodes a message to a follower; undefined if any part is malformed. */
export const decodeSharedMessage = (
  bytes: Uint8Array,
): SharedMessage | undefined => {
  const [type, first, ageMs, items, era = onlyEra] = unpackList(bytes) ?? [];
  if (type === "compacted" || type === "behind") return { type };
  if (type === "outcomes") return decodeOutcomes(first);
  if (type !== "changes" || !isNumber(first)) return undefined;
  if (!isNumber(ageMs) || ageMs < 0 || !isNumber(era)) return undefined;
  const changes = decodeAll(items, decodeChange);
  return changes && { type, era, revision: first, ageMs, changes };
};

/** Encodes a message of a follower. */
export const encodeFollowerMessage = (message: FollowerMessage): Uint8Array =>
  message.type === "follow"
    ? pack([message.type, message.after.revision, message.after.era])
    : encodeOutcomes(message);

/** Decodes a message of a follower; undefined if it is malformed. */
export const decodeFollowerMessage = (
  bytes: Uint8Array,
): FollowerMessage | undefined => {
  // Routers of versions that know no eras leave the era out.
  const [type, first, era = onlyEra] = unpackList(bytes) ?? [];
  if (type === "outcomes") return decodeOutcomes(first);
  return type === "follow" && isNumber(first) && isNumber(era)
    ? { type, after: { era, revision: first } }
    : undefined;
};
