/** HTTP servers, with TLS if configured. */

import { createServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { ListenAddress, Settings } from "@cardamomglade/schema";
import { overdueCheckIntervalMs } from "../connections/constants.js";
import { limitConnections } from "../connections/limitConnections.js";
import type { OpenBodies } from "../connections/openBodies.js";
import { limitHeadLines } from "../connections/refuseLongHead.js";
import type { Log } from "../log.js";
import { handleClientErrors } from "./handleClientErrors.js";
import { TlsFiles } from "./tlsFiles.js";

/** What callers of a server may send at once, and how long they may take. */
export type ListenerLimits = Pick<
  Settings["limits"],
  | "headerBytes"
  | "headerLines"
  | "connections"
  | "headTimeoutMs"
  | "readTimeoutMs"
>;

/** Options of a server. */
export interface HttpServerOptions {
  readonly listen: ListenAddress;
  readonly limits: ListenerLimits;
  /** Bodies of requests that are being read. */
  readonly bodies: OpenBodies;
  readonly log: Log;
}

const createUnlimited = async ({
  listen,
  limits,
  log,
}: HttpServerOptions): Promise<Server> => {
  const limitOptions = {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: Math.min(limits.headTimeoutMs, limits.readTimeoutMs),
    requestTimeout: limits.readTimeoutMs,
    connectionsCheckingInterval: overdueCheckIntervalMs,
  };
  if (listen.tls === undefined) return createServer(limitOptions);
  const files = await TlsFiles.create(listen.tls, log);
  const requestCert = listen.tls.requireClientCertificate;
  const server = createTlsServer({
    ...files.current(),
    requestCert,
    rejectUnauthorized: requestCert,
    ...limitOptions,
  });
  files.onChange((material) => {
    server.setSecureContext({ ...material });
  });
  server.once("close", () => {
    files.close();
  });
  return server;
};

/** Creates a server that does not listen yet. */
export const createHttpServer = async (
  options: HttpServerOptions,
): Promise<Server> => {
  const server = await createUnlimited(options);
  const { limits, bodies, log } = options;
  limitHeadLines(server, limits.headerLines);
  limitConnections({ server, maxCount: limits.connections, bodies, log });
  return handleClientErrors(server);
};
