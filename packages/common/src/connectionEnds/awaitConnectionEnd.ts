/**
 * Tells a connection that was reset from one that was closed. Load pattern: a replica or a
 * service breaks off an answer that ends with its connection. Undici takes any such end for
 * the answer's, and Node reports an orderly one where the reset arrives before the last
 * bytes are read.
 */

import type { Socket } from "node:net";
import { isReset } from "./isReset.js";

/** How the other side ended a connection. */
export enum ConnectionEnd {
  Closed = "closed",
  Reset = "reset",
}

/** Resolves once the other side has ended the connection, before its end is acted on. */
export const awaitConnectionEnd = (socket: Socket): Promise<ConnectionEnd> =>
  new Promise((resolve) => {
    const onError = () => {
      resolve(ConnectionEnd.Reset);
    };
    socket.once("error", onError);
    const onClose = () => {
      resolve(ConnectionEnd.Closed);
    };
    socket.once("close", onClose);
    // Prepended, as Node closes the sending half in its own listener.
    socket.prependOnceListener("end", () => {
      // Undici destroys what has ended, with an error of its own.
      socket.off("error", onError);
      socket.off("close", onClose);
      void isReset(socket).then((wasReset) => {
        resolve(wasReset ? ConnectionEnd.Reset : ConnectionEnd.Closed);
      });
    });
  });
