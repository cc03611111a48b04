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
  private readonly idle = new Set<Socket>();
  private readonly lastResponses = new WeakMap<Socket, ServerResponse>();

  private constructor(private readonly server: Server) {
    server.on("connection", (socket: Socket) => {
      this.start(socket);
      socket.on("close", () => {
        this.idle.delete(socket);
      });
    });
    server.on("request", ({ socket }: IncomingMessage, res: ServerResponse) => {
      const announcedMs = this.timeoutMs;
      socket.setTimeout(0);
      this.idle.delete(socket);
      this.lastResponses.set(socket, res);
      res.on("close", () => {
        if (this.lastResponses.get(socket) !== res) return;
        this.start(socket, announcedMs);
      });
    });
    server.on("timeout", (socket: Socket) => {
      this.closeUnlessInUse(socket);
    });
  }

  static create(server: Server): IdleTimeouts {
    return new IdleTimeouts(server);
  }

  /** Applies a changed limit; connections that are idle keep a longer one. */
  apply(timeoutMs: number): void {
    if (timeoutMs > this.timeoutMs)
      for (const socket of this.idle)
        socket.setTimeout(timeoutMs + idleSlackMs);
    this.timeoutMs = timeoutMs;
    this.server.keepAliveTimeout = timeoutMs;
  }

  private start(socket: Socket, announcedMs = 0): void {
    if (socket.destroyed) return;
    this.idle.add(socket);
    this.idleBytes.set(socket, socket.bytesRead);
    socket.setTimeout(Math.max(announcedMs, this.timeoutMs) + idleSlackMs);
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
