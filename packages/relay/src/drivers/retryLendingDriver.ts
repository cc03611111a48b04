/** Carries repeats between routers, a datagram each; a lost one costs one repeat. */

import { createSocket } from "node:dgram";
import { createChannel, now } from "@cardamomglade/common";
import { Severity, type Log } from "@cardamomglade/observe";
import { pack, unpack } from "msgpackr";
import type { DecisionContext } from "../decisions/commands.js";
import type { RelayEvent } from "../decisions/events.js";
import type { RelayDriver } from "./types.js";
import type { Address } from "../types.js";

/** What a datagram says. */
export interface LendingMessage {
  readonly type: "ask" | "lend";
  readonly service: string;
}

const longestServiceName = 200; // bytes, as long as a key of the store

/** The message in a datagram, or undefined where it holds none. */
export const decodeLending = (
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
  if (typeof service !== "string" || service.length > longestServiceName)
    return undefined;
  return { type, service };
};

/** The datagram of a message. */
export const encodeLending = ({ type, service }: LendingMessage): Uint8Array =>
  pack([type, service]);

/** Hears other routers at an address. */
export const createLendingDriver = (
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
    const message = decodeLending(bytes);
    if (message === undefined) return;
    const type = message.type === "ask" ? "repeatAsked" : "repeatLent";
    const from = { host, port };
    channel.push({ type, at: now(), from, service: message.service });
  });
  socket.bind(address.port, address.host);
  const send = ({ host, port }: Address, message: LendingMessage) => {
    // A router that cannot be reached lends nothing; another one is asked.
    socket.send(encodeLending(message), port, host, () => undefined);
  };
  return {
    events: channel.stream,
    perform: (command) => {
      const { type } = command;
      if (type === "askRepeat")
        send(command.to, { type: "ask", service: command.service });
      if (type === "lendRepeat")
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
