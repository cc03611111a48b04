/** Knows which requests of a listener are owed an answer that bytes behind them must not take the place of. */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Duplex } from "node:stream";

/** Requests of one listener, by their connections. */
export class UnansweredRequests {
  private readonly responses = new Map<Duplex, Set<ServerResponse>>();
  /** Connections whose last request was answered before it had arrived whole. */
  private readonly answeredEarly = new WeakSet<Duplex>();

  private constructor(server: Server) {
    server.on("request", (_req: IncomingMessage, res: ServerResponse) => {
      this.add(res);
    });
  }

  static create(server: Server): UnansweredRequests {
    return new UnansweredRequests(server);
  }

  /** Responses on a connection that have begun, or whose requests have arrived whole. */
  dueOn(socket: Duplex): readonly ServerResponse[] {
    return [...(this.responses.get(socket) ?? [])].filter(
      ({ headersSent, req }) => headersSent || req.complete,
    );
  }

  /** Whether the request that is arriving on a connection has had its answer. */
  isAnsweredEarly(socket: Duplex): boolean {
    return this.answeredEarly.has(socket);
  }

  private add(res: ServerResponse): void {
    const { req } = res;
    const { socket } = req;
    const open = this.responses.get(socket) ?? new Set();
    this.responses.set(socket, open.add(res));
    this.answeredEarly.delete(socket);
    res.on("close", () => {
      open.delete(res);
      if (open.size === 0) this.responses.delete(socket);
      if (!req.complete) this.answeredEarly.add(socket);
    });
  }
}
