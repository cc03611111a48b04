/** Reads what the system says of connections; only Linux says it. */

import { readFile } from "node:fs/promises";
import { endianness } from "node:os";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { tableIntervalMs } from "./constants.js";

/** The two ends of a connection. */
export interface ConnectionAddresses {
  readonly localAddress: string;
  readonly localPort: number;
  readonly remoteAddress: string;
  readonly remotePort: number;
}

const ipv6GroupCount = 8;

const ipv4Bytes = (address: string): Buffer =>
  Buffer.from(address.split(".").map(Number));

const groupsOf = (text: string): readonly string[] =>
  text === "" ? [] : text.split(":");

const ipv6Bytes = (address: string): Buffer => {
  const [withoutScope = ""] = address.split("%");
  const [start = "", end = ""] = withoutScope.split("::");
  const before = groupsOf(start);
  const after = groupsOf(end);
  const zeroCount = Math.max(0, ipv6GroupCount - before.length - after.length);
  const zeros = Array.from({ length: zeroCount }, () => "0");
  const groups = [...before, ...zeros, ...after];
  const hex = groups.map((group) => group.padStart(4, "0")).join("");
  return Buffer.from(hex, "hex");
};

const isIpv6 = (address: string): boolean => address.includes(":");

/** The address as the table has it: words of 32 bits in the order of the machine. */
const addressText = (address: string): string => {
  const bytes = isIpv6(address) ? ipv6Bytes(address) : ipv4Bytes(address);
  if (endianness() === "LE") bytes.swap32();
  return bytes.toString("hex").toUpperCase();
};

const endText = (address: string, port: number): string =>
  `${addressText(address)}:${port.toString(16).toUpperCase().padStart(4, "0")}`;

const queuePattern = /^[0-9A-F]{2} ([0-9A-F]{8}):/;
const queueFieldChars = 12; // a state, a space, the queue's size and a colon

/** Bytes that the other side of a connection has not acknowledged; undefined if the table does not have it. */
export const unacknowledgedBytesIn = (
  table: string,
  { localAddress, localPort, remoteAddress, remotePort }: ConnectionAddresses,
): number | undefined => {
  const local = endText(localAddress, localPort);
  const ends = ` ${local} ${endText(remoteAddress, remotePort)} `;
  const start = table.indexOf(ends);
  if (start === -1) return undefined;
  const from = start + ends.length;
  const fields = table.slice(from, from + queueFieldChars);
  const [, queue] = queuePattern.exec(fields) ?? [];
  return queue === undefined ? undefined : parseInt(queue, 16);
};

const tableFiles = { ipv4: "/proc/net/tcp", ipv6: "/proc/net/tcp6" };
const nextTables = new Map<string, Promise<string | undefined>>();

const readTable = async (file: string): Promise<string | undefined> => {
  await sleep(tableIntervalMs);
  nextTables.delete(file);
  try {
    return await readFile(file, "latin1");
  } catch {
    return undefined; // a system that has no table
  }
};

/** The table as it is from now on; all who ask at about the same time share one reading. */
const nextTable = (file: string): Promise<string | undefined> => {
  const table = nextTables.get(file) ?? readTable(file);
  nextTables.set(file, table);
  return table;
};

/** The two ends of a connection; undefined if it is not open. */
export const addressesOf = ({
  localAddress,
  localPort,
  remoteAddress,
  remotePort,
}: Socket): ConnectionAddresses | undefined =>
  localAddress === undefined ||
  localPort === undefined ||
  remoteAddress === undefined ||
  remotePort === undefined
    ? undefined
    : { localAddress, localPort, remoteAddress, remotePort };

/** Bytes of a connection that the other side has not acknowledged; undefined if the system does not tell. */
export const readUnacknowledgedBytes = async (
  addresses: ConnectionAddresses,
): Promise<number | undefined> => {
  const { ipv4, ipv6 } = tableFiles;
  const table = await nextTable(isIpv6(addresses.remoteAddress) ? ipv6 : ipv4);
  return table === undefined
    ? undefined
    : unacknowledgedBytesIn(table, addresses);
};
