/**
 * Opens the port of a server for requests. Load pattern: all callers of a router that
 * ended connect to another one at the same time. What the system can't keep until it is
 * accepted waits for a second or more, and its caller may take it for connected.
 */

import type { Server } from "node:http";
import {
  listenUntilOpen,
  type OpeningPort,
  type PortEvent,
} from "@cardamomglade/common";
import type { Address } from "../types.js";

/** Connections that wait to be accepted; the system may have a smaller limit. */
const maxUnacceptedCount = 4096;

/** Opens the port as soon as it is free. */
export const openFrontPort = (
  server: Server,
  { host, port }: Address,
  onEvent: (event: PortEvent) => void,
): OpeningPort => {
  const listen = () => {
    server.listen({ host, port, backlog: maxUnacceptedCount });
  };
  return listenUntilOpen({ emitter: server, listen }, onEvent);
};
