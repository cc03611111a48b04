/** Connectors of HTTP clients, with TLS where the settings ask for it. */

import { buildConnector } from "undici";
import type { ClientTlsSettings } from "@cardamomglade/schema";
import type { Log } from "../log.js";
import { TlsFiles } from "./tlsFiles.js";

/** What a connector needs. */
export interface ConnectorOptions {
  readonly tls: ClientTlsSettings | undefined;
  readonly connectTimeoutMs: number;
  readonly log: Log;
}

/** A connector that uses the newest content of the TLS files for each new connection. */
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
