/** HTTP servers, with TLS where the settings ask for it. */

import { createServer, type Server } from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { ListenAddress } from "@cardamomglade/schema";
import type { Log } from "../log.js";
import { answerClientErrors } from "./answerClientErrors.js";
import { TlsFiles } from "./tlsFiles.js";

/** What a server needs. */
export interface HttpServerOptions {
  readonly listen: ListenAddress;
  readonly maxHeaderBytes: number;
  readonly log: Log;
}

/** A server that has not yet been told to listen. */
export const createHttpServer = async ({
  listen,
  maxHeaderBytes,
  log,
}: HttpServerOptions): Promise<Server> => {
  const maxHeaderSize = maxHeaderBytes;
  if (listen.tls === undefined)
    return answerClientErrors(createServer({ maxHeaderSize }));
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
  return answerClientErrors(server);
};
