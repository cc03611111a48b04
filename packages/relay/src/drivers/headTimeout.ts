/** Header timeout of a server's connections: a head keeps the limit under which it began. */

import type { Server } from "node:http";

/** Applies changed header timeouts to one server. */
export class HeadTimeout {
  private latestMs: number;
  private isShrinking = false;

  private constructor(private readonly server: Server) {
    this.latestMs = server.headersTimeout;
  }

  static create(server: Server): HeadTimeout {
    return new HeadTimeout(server);
  }

  /** Applies a longer limit at once, a shorter one when heads that had begun have ended. */
  apply(timeoutMs: number): void {
    this.latestMs = timeoutMs;
    const { server } = this;
    if (timeoutMs >= server.headersTimeout) {
      server.headersTimeout = timeoutMs;
      return;
    }
    if (this.isShrinking) return;
    this.isShrinking = true;
    setTimeout(() => {
      this.isShrinking = false;
      server.headersTimeout = this.latestMs;
    }, server.headersTimeout).unref();
  }
}
