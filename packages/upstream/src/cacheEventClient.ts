/** Reads engines' cache events. */

import { Agent, request, type buildConnector } from "undici";
import { abortSignalAt, type Timestamp } from "@cardamomglade/common";
import { validateCacheEvents, type CacheEvents } from "@cardamomglade/schema";

/** Client of all engines' cache events; one a process. */
export class CacheEventClient {
  private readonly agent: Agent;

  private constructor(connect: buildConnector.connector) {
    this.agent = new Agent({ connections: 1, connect });
  }

  /** A client; connects on first use. */
  static create(connect: buildConnector.connector): CacheEventClient {
    return new CacheEventClient(connect);
  }

  /** Events from a sequence number on, or undefined where they cannot be read. */
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
