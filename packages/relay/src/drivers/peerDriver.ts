/**
 * Exchanges messages with other routers over UDP: a lost datagram costs one
 * retry, or is made up for by later gossip.
 */

import { createSocket } from "node:dgram";
import {
  createChannel,
  listenUntilOpen,
  now,
  type PortEvent,
} from "@cardamomglade/common";
import type { RelayEvent } from "../decisions/events.js";
import {
  decodePeerMessage,
  encodeGossip,
  encodeHandoverOffer,
  encodeHandoverQuestion,
  encodeLendingMessage,
  encodeOriginQuestion,
  encodeOrigins,
  encodeReturns,
  type PeerMessage,
} from "./peerMessages.js";
import { encodeRolloutReport } from "./rolloutReports.js";
import type { RelayDriver } from "./types.js";
import type { Address } from "../types.js";

const eventOf = (message: PeerMessage, from: Address): RelayEvent => {
  const at = now();
  switch (message.type) {
    case "gossip":
      return { type: "gossipReceived", at, from, items: message.items };
    case "askOrigin":
      return { type: "originAsked", at, from, key: message.key };
    case "origins":
      return { type: "originsTold", at, from, origins: message.origins };
    case "rollout":
      return { type: "rolloutTold", at, from, report: message.report };
    case "askHandover":
      return { type: "handoverAsked", at, from, services: message.services };
    case "offerHandover": {
      const { services, freePlaces } = message;
      return { type: "handoverOffered", at, from, services, freePlaces };
    }
    case "returns":
      return { type: "returnsTold", at, from, returned: message.returned };
    case "ask":
      return { type: "retryRequested", at, from, service: message.service };
    case "lend":
      return { type: "retryLent", at, from, service: message.service };
  }
};

/** Creates the driver, which listens for other routers at an address. */
export const createPeerDriver = (
  address: Address,
  onPortEvent: (event: PortEvent) => void,
): RelayDriver => {
  const channel = createChannel<RelayEvent>();
  const socket = createSocket("udp4");
  socket.on("message", (bytes, { address: host, port }) => {
    const message = decodePeerMessage(bytes, now());
    if (message !== undefined) channel.push(eventOf(message, { host, port }));
  });
  const opening = listenUntilOpen(
    {
      emitter: socket,
      listen: () => socket.bind(address.port, address.host),
    },
    onPortEvent,
  );
  const send = ({ host, port }: Address, datagram: Uint8Array) => {
    // A socket without a port would take any free one, and answers would not be received.
    if (!opening.isOpen()) return;
    // Send errors are ignored: an unreachable router lends nothing, and gossip reaches it by others.
    socket.send(datagram, port, host, () => undefined);
  };
  return {
    events: channel.stream,
    perform: (command) => {
      switch (command.type) {
        case "borrowRetry":
        case "lendRetry": {
          const type = command.type === "borrowRetry" ? "ask" : "lend";
          const { to, service } = command;
          send(to, encodeLendingMessage({ type, service }));
          return;
        }
        case "askHandover":
          send(command.to, encodeHandoverQuestion(command.services));
          return;
        case "offerHandover": {
          const { to, services, freePlaces } = command;
          send(to, encodeHandoverOffer(services, freePlaces));
          return;
        }
        case "tellRollout": {
          const datagram = encodeRolloutReport(command.report);
          if (datagram !== undefined) send(command.to, datagram);
          return;
        }
        case "askOrigin":
          send(command.to, encodeOriginQuestion(command.key));
          return;
        case "tellOrigins":
          for (const datagram of encodeOrigins(command.origins))
            send(command.to, datagram);
          return;
        case "tellReturns":
          for (const datagram of encodeReturns(command.returned, now()))
            send(command.to, datagram);
          return;
        case "gossip":
          for (const datagram of encodeGossip(command.items, now()))
            send(command.to, datagram);
          return;
        default:
          return;
      }
    },
    stop: () =>
      new Promise((resolve) => {
        opening.stop();
        socket.close(() => {
          resolve();
        });
      }),
  };
};
