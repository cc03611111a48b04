/** Size of request heads, counted as the parser of Node counts them. */

import type { IncomingMessage } from "node:http";

/** Returns the bytes of a head's target, names and values. */
export const headBytesOf = ({
  url = "",
  rawHeaders,
}: IncomingMessage): number =>
  rawHeaders.reduce((bytes, text) => bytes + text.length, url.length);
