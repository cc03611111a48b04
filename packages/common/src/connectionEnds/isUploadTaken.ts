/** Finds out whether the other side of a connection takes all that was written to it. */

import type { Socket } from "node:net";
import { now } from "../now.js";
import { untakenMs } from "./constants.js";
import { addressesOf, readUnacknowledgedBytes } from "./connectionTable.js";
import { isReset } from "./isReset.js";
import { unsentBytes } from "./unsentBytes.js";

/**
 * Waits until the other side's system has acknowledged all bytes; false if the connection is
 * reset or closed before that, if no byte is acknowledged for some time, or if this system
 * does not tell.
 */
export const isUploadTaken = async (socket: Socket): Promise<boolean> => {
  const addresses = addressesOf(socket);
  if (addresses === undefined) return false;
  let leastBytes = Infinity;
  let takenBy = now() + untakenMs;
  while (now() < takenBy && !socket.destroyed) {
    const waiting = await readUnacknowledgedBytes(addresses);
    const unsent = unsentBytes(socket);
    if (unsent === 0 && (await isReset(socket))) return false;
    if (waiting === undefined) continue;
    const bytes = waiting + unsent;
    if (bytes === 0) return true;
    if (bytes >= leastBytes) continue;
    leastBytes = bytes;
    takenBy = now() + untakenMs;
  }
  return false;
};
