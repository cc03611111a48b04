/**
 * Closes connections of callers that wait too long for their first or next request.
 * Load pattern: callers that reuse connections until shortly before that time.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

// The caller counts from when it received the answer, and its request is a while under way.
const idleSlackMs = 1000;

/** Idle timeout of the connections of one server. */
export class IdleTimeouts {
  private timeoutMs = 0;
  /** Bytes that each connection had received when its idle time began. */
  private readonly idleBytes = new WeakMap<Socket, number>();
  private readonly lastResponses = new WeakMap<Socket, ServerResponse>();

  private constructor(private readonly server: Server) {
    server.on("connection", (socket: Socket) => {
      this.start(socket);
    });
    server.on("request", ({ socket }: IncomingMessage, res: ServerResponse) => {
      socket.setTimeout(0);
      this.lastResponses.set(socket, res);
      res.on("close", () => {
        if (this.lastResponses.get(socket) === res) this.start(socket);
      });
    });
    server.on("timeout", (socket: Socket) => {
      this.closeUnlessInUse(socket);
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

  private start(socket: Socket): void {
    this.idleBytes.set(socket, socket.bytesRead);
    socket.setTimeout(this.timeoutMs + idleSlackMs);
  }

  /** Timers run before what has arrived is read: the connection may be in use by now. */
  private closeUnlessInUse(socket: Socket): void {
    const bytes = this.idleBytes.get(socket);
    if (socket.bytesRead !== bytes) {
      this.start(socket); // the header timeout ends the head that has begun
      return;
    }
    setImmediate(() => {
      if (socket.bytesRead === bytes) socket.destroy();
    });
  }
}
