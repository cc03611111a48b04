/**
 * The memory of heads that have begun and not ended, whose bytes Node's parser keeps, and
 * of trailers behind bodies. Load pattern: very many callers that send a large head, or
 * trailers of a chunked body, and stop before their end.
 */

import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Holder } from "../../decisions/memory/types.js";
import type { OpenConnections } from "../openConnections.js";
import { begunHeadMemoryOf, minBegunBytes } from "./headMemory.js";
import type { Holding } from "./holding.js";
import type { MemoryBudget } from "./memoryBudget.js";
import { memoryGuard } from "./memoryGuard.js";

const checkIntervalMs = 50;
const uncountedRatio = 1 / 8; // of the budget, for the heads of few connections

/** Options of the heads of one server. */
export interface BegunHeadsOptions {
  readonly server: Server;
  readonly connections: OpenConnections;
  readonly budget: MemoryBudget;
  /** Bytes of one head that Node's parser accepts. */
  readonly maxHeadBytes: () => number;
  /** Fields that the parser keeps of a head of a connection. */
  readonly maxFieldsOf: (socket: Socket) => number;
  /** Counts what follows a body that is still read. */
  readonly countBehind: (res: ServerResponse) => void;
  /** Called for a connection whose head has no room. */
  readonly onNoRoom: (socket: Socket) => void;
}

/** Heads of one server. They are counted while its connections are so many that they could fill the memory. */
export class BegunHeads {
  private readonly holdings = new Map<Socket, Holding>();
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: BegunHeadsOptions) {
    const { server } = options;
    server.on("connection", (socket: Socket) => {
      socket.on("close", () => {
        this.forget(socket);
      });
      if (this.timer === undefined && this.canFillMemory()) this.start();
    });
    // From here on the request holds the bytes of its head.
    server.on("request", ({ socket }: IncomingMessage) => {
      this.forget(socket);
    });
  }

  static create(options: BegunHeadsOptions): BegunHeads {
    return new BegunHeads(options);
  }

  private canFillMemory(): boolean {
    const { budget, connections, maxHeadBytes } = this.options;
    const bytes = connections.connectionCount() * maxHeadBytes();
    return bytes > uncountedRatio * budget.use().maxBytes;
  }

  private start(): void {
    this.timer = setInterval(() => {
      this.check();
    }, checkIntervalMs).unref();
  }

  private check(): void {
    const { connections, countBehind } = this.options;
    const ended = new Set(this.holdings.keys());
    const begun = [...connections.begunHeads()];
    for (const res of connections.lastRequests()) {
      const { socket, complete } = res.req;
      if (complete)
        begun.push({ socket, bytes: connections.bytesBehind(socket) });
      else countBehind(res);
    }
    for (const { socket, bytes } of begun) {
      if (bytes < minBegunBytes) continue;
      ended.delete(socket);
      this.count(socket, bytes);
    }
    for (const socket of ended) this.forget(socket);
    if (this.canFillMemory()) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private count(socket: Socket, bytes: number): void {
    const { budget, maxFieldsOf } = this.options;
    const holding = this.holdings.get(socket) ?? this.open(socket);
    const heldBytes = begunHeadMemoryOf(bytes, maxFieldsOf(socket));
    memoryGuard.note(Math.max(0, heldBytes - holding.bytes));
    if (budget.tryResize(holding, heldBytes)) return;
    this.refuse(socket);
  }

  private open(socket: Socket): Holding {
    const holding = this.options.budget.hold({
      holder: Holder.ReadingRequest,
      isSized: true,
      onGiveWay: () => {
        this.refuse(socket);
      },
    });
    this.holdings.set(socket, holding);
    return holding;
  }

  private refuse(socket: Socket): void {
    this.forget(socket);
    this.options.onNoRoom(socket);
  }

  private forget(socket: Socket): void {
    this.holdings.get(socket)?.close();
    this.holdings.delete(socket);
  }
}
