/**
 * Lets the end of a connection count only once its other side has taken what was sent to it.
 * Load pattern: a replica or a service answers without a length while it is sent a long body,
 * ends its half of the connection, and reads no more.
 */

import type { Socket } from "node:net";
import { alwaysTakenBytes } from "./constants.js";
import { isUploadTaken } from "./isUploadTaken.js";

/**
 * Holds back the end of a connection, while there is one that its answer depends on: the
 * bytes of the request's body, undefined if the answer has an end of its own. If the body is
 * not taken, the connection fails in place of its end.
 */
export const holdUploadEnd = (
  socket: Socket,
  uploadBytes: () => number | undefined,
): void => {
  const push = socket.push.bind(socket);
  let isHeld = false;
  const settle = (isTaken: boolean) => {
    if (socket.destroyed) return;
    if (isTaken) push(null);
    else socket.destroy(new Error("the request's body was not taken"));
  };
  socket.push = (chunk: unknown, encoding?: BufferEncoding): boolean => {
    if (isHeld && chunk === null) return false;
    const bytes = chunk === null ? uploadBytes() : undefined;
    if (bytes === undefined || bytes <= alwaysTakenBytes)
      return push(chunk, encoding);
    isHeld = true;
    void isUploadTaken(socket).then(settle);
    return false;
  };
};
