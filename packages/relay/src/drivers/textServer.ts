/** A small server that answers every request with a status and a text. */

import { createServer, type Server } from "node:http";
import type { Address } from "../types.js";

/** What is answered now. */
export interface TextAnswer {
  readonly status: number;
  readonly text: string;
}

/** Listens at once. */
export const createTextServer = (
  { host, port }: Address,
  answer: () => TextAnswer,
): Server => {
  const server = createServer((req, res) => {
    req.resume();
    const { status, text } = answer();
    res.writeHead(status, {
      "content-type": "text/plain",
      "content-length": Buffer.byteLength(text),
    });
    res.end(text);
  });
  return server.listen(port, host);
};
