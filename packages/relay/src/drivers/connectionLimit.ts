/**
 * Keeps descriptors free beside the connections of callers. Load pattern: callers that open
 * connections without end and send nothing, or stop in the middle of a head or a body.
 */

import type { Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  BurstCount,
  chooseClosing,
  closingCountOf,
  type WaitingConnection,
} from "@cardamomglade/common";
import type { OpenConnections } from "./openConnections.js";

const logIntervalMs = 1000;

/** Options of the limit of one server. */
export interface ConnectionLimitOptions {
  readonly server: Server;
  readonly connections: OpenConnections;
  /** How many connections may be open. */
  readonly maxCount: () => number;
  /** Refuses a request if its body has stopped; returns whether it did. */
  readonly refuseStalled: (res: ServerResponse) => boolean;
  /** Called with the number of connections that were closed since the last call, soon after each of them. */
  readonly onClosed: (count: number) => void;
}

const addressOf = ({ remoteAddress = "" }: Socket): string => remoteAddress;

/** Limit of the connections of one server. */
export class ConnectionLimit {
  private readonly closed: BurstCount;

  private constructor(private readonly options: ConnectionLimitOptions) {
    this.closed = BurstCount.create(logIntervalMs, options.onClosed);
    options.server.on("connection", (socket: Socket) => {
      this.check(socket);
    });
  }

  static create(options: ConnectionLimitOptions): ConnectionLimit {
    return new ConnectionLimit(options);
  }

  /** Makes room for a new connection; without any it is closed unread. */
  private check(added: Socket): void {
    const { connections } = this.options;
    const maxCount = this.options.maxCount();
    if (connections.connectionCount() <= maxCount) return;
    const closed = this.closeWaiting(added, closingCountOf(maxCount));
    if (closed === 0) {
      added.destroy();
      this.closed.add(1);
    } else this.closed.add(closed);
  }

  /** Closes connections without a request, else refuses bodies that have stopped; returns how many. */
  private closeWaiting(added: Socket, count: number): number {
    const counts = new Map<string, number>();
    const waiting: WaitingConnection<Socket>[] = [];
    for (const { socket, isWaiting } of this.options.connections.all()) {
      const address = addressOf(socket);
      counts.set(address, (counts.get(address) ?? 0) + 1);
      if (isWaiting && socket !== added)
        waiting.push({ connection: socket, address });
    }
    const idle = chooseClosing(waiting, counts, count);
    for (const socket of idle) socket.destroy();
    return idle.length > 0 ? idle.length : this.refuseBodies(counts, count);
  }

  private refuseBodies(
    counts: ReadonlyMap<string, number>,
    count: number,
  ): number {
    const { connections, refuseStalled } = this.options;
    const reading = connections.unreadRequests().map((res) => ({
      connection: res,
      address: addressOf(res.req.socket),
    }));
    let refused = 0;
    for (const res of chooseClosing(reading, counts, reading.length)) {
      if (refused === count) break;
      if (refuseStalled(res)) refused += 1;
    }
    return refused;
  }
}
