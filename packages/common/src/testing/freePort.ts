/** Test harness: ports of the loopback address on which a test may listen. */

import { randomInt } from "node:crypto";
import { createServer } from "node:net";

// Below the ports that systems give to outgoing connections: one of another
// test would take a port between this check and its use.
const minPort = 10_000;
const maxPort = 30_000;

const canListen = (port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.on("error", () => {
      resolve(false);
    });
    server.listen(port, "127.0.0.1", () => {
      server.close(() => {
        resolve(true);
      });
    });
  });

/** Finds a port on which nothing listens. */
export const freePort = async (): Promise<number> => {
  for (;;) {
    const port = randomInt(minPort, maxPort);
    if (await canListen(port)) return port;
  }
};
