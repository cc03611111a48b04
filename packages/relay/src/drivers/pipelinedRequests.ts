/**
 * Bounds the requests on one connection that wait for an earlier one to be answered: Node
 * keeps each of them. Load pattern: a caller that sends requests without end and reads no answer.
 */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

const maxWaitingCount = 64;

/** Requests of each connection of one server. */
export class PipelinedRequests {
  private readonly waitingCounts = new WeakMap<Socket, number>();
  private readonly droppedCounts = new WeakMap<Socket, number>();

  private constructor() {
    // Created by `create`.
  }

  static create(): PipelinedRequests {
    return new PipelinedRequests();
  }

  /** Adds a request until its response closes. */
  add(res: ServerResponse): void {
    const { socket } = res.req;
    const change = (by: number) => {
      const count = this.waitingCounts.get(socket) ?? 0;
      this.waitingCounts.set(socket, count + by);
    };
    change(1);
    res.once("close", () => {
      change(-1);
    });
  }

  /** Whether a connection has a request. */
  hasAny(socket: Socket): boolean {
    return (this.waitingCounts.get(socket) ?? 0) > 0;
  }

  /** Whether a connection has more requests than may wait. */
  areTooMany(socket: Socket): boolean {
    return (this.waitingCounts.get(socket) ?? 0) > maxWaitingCount;
  }

  /** Counts a request that gets no answer; behind many of them the connection is not read any more. */
  drop(socket: Socket): void {
    const count = (this.droppedCounts.get(socket) ?? 0) + 1;
    this.droppedCounts.set(socket, count);
    if (count <= maxWaitingCount) return;
    // After each request Node reads on, in a tick; microtasks run after those.
    queueMicrotask(() => {
      socket.pause();
    });
  }
}
