/** Client that reads the KV cache events of engines. */

import { Agent, request, type buildConnector } from "undici";
import { abortSignalAt, type Timestamp } from "@cardamomglade/common";
import { validateCacheEvents, type CacheEvents } from "@cardamomglade/schema";

/** Reads KV cache events of all engines; one instance per process. */
export class CacheEventClient {
  private readonly agent: Agent;

  private constructor(connect: buildConnector.connector) {
    this.agent = new Agent({ connections: 1, connect });
  }

  /** Creates a client, which connects on first use. */
  static create(connect: buildConnector.connector): CacheEventClient {
    return new CacheEventClient(connect);
  }

  /** Returns the events from a sequence number on, or undefined if the read fails. */
  async read(
    url: string,
    since: number,
    deadline: Timestamp,
  ): Promise<CacheEvents | undefined> {
    try {
      const res = await request(`${url}/cache-events?since=${String(since)}`, {
        dispatcher: this.agent,
        signal: abortSignalAt(deadline),
      });
      const read: unknown = await res.body.json();
      return validateCacheEvents(read) ? read : undefined;
    } catch {
      return undefined;
    }
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }
}
