/** Test harness: ports of the loopback address on which a test may listen. */

import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

// Below the ports of the bench, and of those that systems give to outgoing
// connections: either would take a port between this check and its use.
const minPort = 10_000;
const maxPort = 20_000;

/** Listens, or returns undefined if something else does. */
const listen = (
  options: { readonly port: number; readonly host: string } | string,
): Promise<Server | undefined> =>
  new Promise((resolve) => {
    const server = createServer();
    server.on("error", () => {
      resolve(undefined);
    });
    server.listen(options, () => {
      resolve(server);
    });
  });

const canListen = async (port: number): Promise<boolean> => {
  const server = await listen({ port, host: "127.0.0.1" });
  if (server === undefined) return false;
  await new Promise((resolve) => server.close(resolve));
  return true;
};

/**
 * Reserves a port among all tests of this machine until this process ends, by an
 * abstract socket of its number; only Linux has these.
 */
const reserve = async (port: number): Promise<boolean> => {
  if (process.platform !== "linux") return true;
  const reservation = await listen(`\0cardamomglade-test-port-${String(port)}`);
  reservation?.unref();
  return reservation !== undefined;
};

const take = async (first: number, count: number): Promise<boolean> => {
  for (let port = first; port < first + count; port += 1)
    if (!(await reserve(port)) || !(await canListen(port))) return false;
  return true;
};

/** Finds a port on which nothing listens and that no other test gets; with a count, the first of so many in a row. */
export const freePort = async (count = 1): Promise<number> => {
  for (;;) {
    const port = randomInt(minPort, maxPort - count);
    if (await take(port, count)) return port;
  }
};
