/** Connectors for HTTP clients, with TLS if configured. */

import { buildConnector } from "undici";
import type { ClientTlsSettings } from "@cardamomglade/schema";
import type { Log } from "../log.js";
import { TlsFiles } from "./tlsFiles.js";

/** Options of a connector. */
export interface ConnectorOptions {
  readonly tls: ClientTlsSettings | undefined;
  readonly connectTimeoutMs: number;
  readonly log: Log;
}

/** Creates a connector that uses the current content of the TLS files for each new connection. */
export const createConnector = async ({
  tls,
  connectTimeoutMs,
  log,
}: ConnectorOptions): Promise<buildConnector.connector> => {
  const timeout = connectTimeoutMs;
  if (tls === undefined) return buildConnector({ timeout });
  const files = await TlsFiles.create(tls, log);
  let connect = buildConnector({ ...files.current(), timeout });
  files.onChange((material) => {
    connect = buildConnector({ ...material, timeout });
  });
  return (options, callback) => {
    connect(options, callback);
  };
};
