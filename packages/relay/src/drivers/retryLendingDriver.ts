/**
 * Exchanges lending messages with other routers over UDP, one datagram each; a
 * lost datagram costs one retry.
 */

import { createSocket } from "node:dgram";
import { createChannel, now } from "@cardamomglade/common";
import { Severity, type Log } from "@cardamomglade/observe";
import { pack, unpack } from "msgpackr";
import type { DecisionContext } from "../decisions/commands.js";
import type { RelayEvent } from "../decisions/events.js";
import type { RelayDriver } from "./types.js";
import type { Address } from "../types.js";

/** Content of a datagram. */
export interface LendingMessage {
  readonly type: "ask" | "lend";
  readonly service: string;
}

const maxServiceNameLength = 200; // maximum length of a key in the store

/** Decodes a datagram; undefined if it is malformed. */
export const decodeLendingMessage = (
  bytes: Uint8Array,
): LendingMessage | undefined => {
  let value: unknown;
  try {
    value = unpack(bytes);
  } catch {
    return undefined;
  }
  if (!Array.isArray(value)) return undefined;
  const [type, service] = value as readonly unknown[];
  if (type !== "ask" && type !== "lend") return undefined;
  if (typeof service !== "string" || service.length > maxServiceNameLength)
    return undefined;
  return { type, service };
};

/** Encodes a message as a datagram. */
export const encodeLendingMessage = ({
  type,
  service,
}: LendingMessage): Uint8Array => pack([type, service]);

/** Creates the driver, which listens for other routers at an address. */
export const createRetryLendingDriver = (
  address: Address,
  log: Log<DecisionContext>,
): RelayDriver => {
  const channel = createChannel<RelayEvent>();
  const socket = createSocket("udp4");
  socket.on("error", (error) => {
    log(Severity.Warn, "other routers cannot be heard", {
      reason: error.message,
    });
  });
  socket.on("message", (bytes, { address: host, port }) => {
    const message = decodeLendingMessage(bytes);
    if (message === undefined) return;
    const type = message.type === "ask" ? "retryRequested" : "retryLent";
    const from = { host, port };
    channel.push({ type, at: now(), from, service: message.service });
  });
  socket.bind(address.port, address.host);
  const send = ({ host, port }: Address, message: LendingMessage) => {
    // Send errors are ignored: an unreachable router lends nothing, and another one is asked.
    socket.send(encodeLendingMessage(message), port, host, () => undefined);
  };
  return {
    events: channel.stream,
    perform: (command) => {
      const { type } = command;
      if (type === "borrowRetry")
        send(command.to, { type: "ask", service: command.service });
      if (type === "lendRetry")
        send(command.to, { type: "lend", service: command.service });
    },
    stop: () =>
      new Promise((resolve) => {
        socket.close(() => {
          resolve();
        });
      }),
  };
};
