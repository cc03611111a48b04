/** HTTP server that answers every request with a status and a text. */

import { createServer } from "node:http";
import { openServerPort, type PortEvent } from "@cardamomglade/common";
import type { Address } from "../types.js";

/** Status and text of a response. */
export interface TextResponse {
  readonly status: number;
  readonly text: string;
}

/** Options of the server. */
export interface TextServerOptions {
  readonly listen: Address;
  /** Called for each request. */
  readonly answer: () => TextResponse;
  readonly onPortEvent: (event: PortEvent) => void;
}

/** Handle of a server. */
export interface TextServer {
  close(): void;
}

/** Starts the server as soon as its port is free. */
export const createTextServer = (options: TextServerOptions): TextServer => {
  const { listen, answer, onPortEvent } = options;
  const server = createServer((req, res) => {
    req.resume();
    const { status, text } = answer();
    res.writeHead(status, {
      "content-type": "text/plain",
      "content-length": Buffer.byteLength(text),
    });
    res.end(text);
  });
  const opening = openServerPort(server, listen, onPortEvent);
  return {
    close: () => {
      opening.stop();
      server.close();
      server.closeAllConnections();
    },
  };
};
