/** Codec of messages between routers. */

import { Packr } from "msgpackr";
import { validatePeerMessage, type PeerMessage } from "@cardamomglade/schema";

const packr = new Packr({ useRecords: false, int64AsType: "number" });

/** Bytes of a message. */
export const encodeMessage = (message: PeerMessage): Buffer =>
  packr.pack(message);

/** The message in the bytes, or undefined where they hold no valid one. */
export const decodeMessage = (bytes: Uint8Array): PeerMessage | undefined => {
  try {
    const value: unknown = packr.unpack(bytes);
    return validatePeerMessage(value) ? value : undefined;
  } catch {
    return undefined;
  }
};
