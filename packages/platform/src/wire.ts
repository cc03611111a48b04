/** Encoding of the etcd v3 JSON gateway: keys and values in base64, 64-bit numbers as strings. */

import type {
  Compare,
  KeyValueEntry,
  Operation,
  Transaction,
} from "./types.js";
import { assertNever } from "@cardamomglade/common";
import type { WireEntry } from "@cardamomglade/schema";

/** Encodes a key or value in base64. */
export const toWire = (text: string): string =>
  Buffer.from(text, "utf8").toString("base64");

/** Decodes a key or value from base64. */
export const fromWire = (text: string): string =>
  Buffer.from(text, "base64").toString("utf8");

/** Returns the exclusive end of the range of all keys with a prefix, in base64. */
export const prefixEnd = (prefix: string): string => {
  const bytes = Buffer.from(prefix, "utf8");
  for (let index = bytes.length - 1; index >= 0; index -= 1) {
    const byte = bytes[index] ?? 0xff;
    if (byte === 0xff) continue;
    const end = Buffer.from(bytes.subarray(0, index + 1));
    end[index] = byte + 1;
    return end.toString("base64");
  }
  return Buffer.from([0]).toString("base64");
};

/** Decodes an entry. */
export const toEntry = (entry: WireEntry): KeyValueEntry => ({
  key: fromWire(entry.key),
  value: fromWire(entry.value ?? ""),
  createRevision: Number(entry.create_revision ?? 0),
  modRevision: Number(entry.mod_revision ?? 0),
  lease: entry.lease ?? "0",
});

const toWireCompare = (compare: Compare) => {
  const key = toWire(compare.key);
  switch (compare.type) {
    case "modRevision":
      return {
        key,
        target: "MOD",
        result: "EQUAL",
        mod_revision: String(compare.revision),
      };
    case "createRevision":
      return {
        key,
        target: "CREATE",
        result: "EQUAL",
        create_revision: String(compare.revision),
      };
    case "value":
      return {
        key,
        target: "VALUE",
        result: "EQUAL",
        value: toWire(compare.value),
      };
    default:
      return assertNever(compare);
  }
};

const toWireOperation = (operation: Operation) => {
  const key = toWire(operation.key);
  switch (operation.type) {
    case "put":
      return {
        request_put: {
          key,
          value: toWire(operation.value),
          lease: operation.lease ?? "0",
        },
      };
    case "delete":
      return { request_delete_range: { key } };
    case "read":
      return { request_range: { key } };
    default:
      return assertNever(operation);
  }
};

/** Encodes a transaction. */
export const toWireTransaction = (transaction: Transaction) => ({
  compare: transaction.compare.map(toWireCompare),
  success: transaction.success.map(toWireOperation),
  failure: transaction.failure.map(toWireOperation),
});
