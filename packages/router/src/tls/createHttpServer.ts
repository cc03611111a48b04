/** HTTP servers, with TLS if configured. */

import { createServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { ListenAddress } from "@cardamomglade/schema";
import type { Log } from "../log.js";
import { handleClientErrors } from "./handleClientErrors.js";
import { TlsFiles } from "./tlsFiles.js";

/** Options of a server. */
export interface HttpServerOptions {
  readonly listen: ListenAddress;
  readonly maxHeaderBytes: number;
  readonly log: Log;
}

/** Creates a server that does not listen yet. */
export const createHttpServer = async ({
  listen,
  maxHeaderBytes,
  log,
}: HttpServerOptions): Promise<Server> => {
  const maxHeaderSize = maxHeaderBytes;
  if (listen.tls === undefined)
    return handleClientErrors(createServer({ maxHeaderSize }));
  const files = await TlsFiles.create(listen.tls, log);
  const requestCert = listen.tls.requireClientCertificate;
  const options = { requestCert, rejectUnauthorized: requestCert };
  const server = createTlsServer({
    ...files.current(),
    ...options,
    maxHeaderSize,
  });
  files.onChange((material) => {
    server.setSecureContext({ ...material });
  });
  server.once("close", () => {
    files.close();
  });
  return handleClientErrors(server);
};
