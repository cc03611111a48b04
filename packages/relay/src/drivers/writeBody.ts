/** Writes the body of a request or an answer, in parts if it is large, so that the other side is seen to read. */

import type { OutgoingMessage } from "node:http";

const partBytes = 256 * 1024;

/** Writes the body and ends the message; reports each part that the socket took. */
export const writeBody = (
  message: OutgoingMessage,
  body: Uint8Array,
  onPart: (bytes: number) => void,
): void => {
  let offset = 0;
  const writePart = () => {
    const part = body.subarray(offset, offset + partBytes);
    offset += part.length;
    if (offset === body.length) {
      message.end(part);
      return;
    }
    message.write(part, (error) => {
      if (error) return; // the connection was closed, which its own event tells
      onPart(part.length);
      writePart();
    });
  };
  writePart();
};
