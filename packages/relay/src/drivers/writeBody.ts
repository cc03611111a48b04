/** Writes the body of an answer, in parts if it is large, so that its caller is seen to read. */

import type { ServerResponse } from "node:http";

const partBytes = 64 * 1024;

/** Writes the body and ends the response; reports each part that the socket took. */
export const writeBody = (
  res: ServerResponse,
  body: Uint8Array,
  onPart: (bytes: number) => void,
): void => {
  let offset = 0;
  const writePart = () => {
    const part = body.subarray(offset, offset + partBytes);
    offset += part.length;
    if (offset === body.length) {
      res.end(part);
      return;
    }
    res.write(part, (error) => {
      if (error) return; // the connection was closed, which its own event tells
      onPart(part.length);
      writePart();
    });
  };
  writePart();
};
