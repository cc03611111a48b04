/** HTTP server that answers every request with a status and a text. */

import { createServer, type Server } from "node:http";
import type { Address } from "../types.js";

/** Status and text of a response. */
export interface TextResponse {
  readonly status: number;
  readonly text: string;
}

/** Starts the server; `answer` is called for each request. */
export const createTextServer = (
  { host, port }: Address,
  answer: () => TextResponse,
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
