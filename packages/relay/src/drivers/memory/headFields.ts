/**
 * Bounds the fields that the parser keeps of a head, by the number of connections.
 * Load pattern: very many callers send heads of many short fields, all read in one turn of
 * the event loop: nothing is freed before its end.
 */

import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { maxFieldsOf } from "../../decisions/memory/headFields.js";
import type { OpenConnections } from "../openConnections.js";
import type { MemoryBudget } from "./memoryBudget.js";

/** Options of the fields of one server. */
export interface HeadFieldsOptions {
  readonly server: Server;
  readonly connections: OpenConnections;
  readonly budget: MemoryBudget;
}

/** Fields of the heads of one server. */
export class HeadFields {
  private readonly limits = new WeakMap<Socket, number>();
  private nextLimit: number;

  private constructor(private readonly options: HeadFieldsOptions) {
    this.nextLimit = this.applyLimit();
    options.server.on("connection", (socket: Socket) => {
      this.limits.set(socket, this.nextLimit);
      this.nextLimit = this.applyLimit();
      socket.on("close", () => {
        this.nextLimit = this.applyLimit();
      });
    });
  }

  static create(options: HeadFieldsOptions): HeadFields {
    return new HeadFields(options);
  }

  /** Whether the parser may have dropped fields of a head. */
  mayLack({ socket, rawHeaders }: IncomingMessage): boolean {
    return rawHeaders.length / 2 >= this.limitOf(socket);
  }

  /** Fields that the parser keeps of a head of a connection. */
  limitOf(socket: Socket): number {
    return this.limits.get(socket) ?? this.nextLimit;
  }

  /** Node reads it for each new connection. */
  private applyLimit(): number {
    const { server, connections, budget } = this.options;
    const { maxBytes } = budget.use();
    const limit = maxFieldsOf(maxBytes, connections.connectionCount());
    server.maxHeadersCount = limit;
    return limit;
  }
}
