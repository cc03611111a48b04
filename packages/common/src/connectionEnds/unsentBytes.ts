/** What the system has not taken yet of the bytes that were written to a connection. */

import type { Socket } from "node:net";

/** Node's own handle of a connection; its type is not declared. */
interface ConnectedSocket {
  readonly _handle?: { readonly writeQueueSize: number } | null;
}

/** Bytes that the system has not taken yet. */
export const unsentBytes = (socket: Socket): number =>
  (socket as unknown as ConnectedSocket)._handle?.writeQueueSize ?? 0;
