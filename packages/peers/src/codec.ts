/** Encodes and decodes the messages between routers (MessagePack). */

import { Packr } from "msgpackr";
import { validatePeerMessage, type PeerMessage } from "@cardamomglade/schema";

const packr = new Packr({ useRecords: false, int64AsType: "number" });

/** Encodes a message. */
export const encodeMessage = (message: PeerMessage): Buffer =>
  packr.pack(message);

/** Decodes a message, or returns undefined if the bytes are not a valid message. */
export const decodeMessage = (bytes: Uint8Array): PeerMessage | undefined => {
  try {
    const value: unknown = packr.unpack(bytes);
    return validatePeerMessage(value) ? value : undefined;
  } catch {
    return undefined;
  }
};
