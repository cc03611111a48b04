/** Closes connections of callers that wait too long for their first request. */

import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";

// The caller counts from when it received the answer, and its request is a while under way.
const idleSlackMs = 1000;

/** Idle timeout of the connections of one server. */
export class IdleTimeouts {
  private timeoutMs = 0;

  private constructor(private readonly server: Server) {
    server.on("connection", (socket: Socket) => {
      socket.setTimeout(this.timeoutMs + idleSlackMs);
    });
    server.on("request", ({ socket }: IncomingMessage) => {
      socket.setTimeout(0);
    });
  }

  static create(server: Server): IdleTimeouts {
    return new IdleTimeouts(server);
  }

  /** Applies a changed limit. */
  apply(timeoutMs: number): void {
    this.timeoutMs = timeoutMs;
    this.server.keepAliveTimeout = timeoutMs;
  }
}
