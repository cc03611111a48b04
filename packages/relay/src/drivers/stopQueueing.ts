/**
 * Lets the system keep no more connections of a server until they are accepted. Load
 * pattern: a planned stop under so much load that connections always wait; those that
 * wait when the listener closes are reset, with the requests that were sent on them.
 */

import type { Server } from "node:http";

/** Node's own handle of a listening server; its type is not declared. */
interface ListeningServer {
  readonly _handle?: { listen(backlog: number): number } | null;
}

/** Stops it; connections that are refused a place are tried again by their callers' systems. */
export const stopQueueing = (server: Server): void => {
  const { _handle: handle } = server as ListeningServer;
  handle?.listen(0);
};
