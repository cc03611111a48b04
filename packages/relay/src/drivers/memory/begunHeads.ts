/**
 * The memory of heads that have begun and not ended, whose bytes Node's parser keeps.
 * Load pattern: very many callers that send a large head and stop before its end.
 */

import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { Holder } from "../../decisions/memory/types.js";
import type { OpenConnections } from "../openConnections.js";
import { begunHeadMemoryOf } from "./headMemory.js";
import type { Holding } from "./holding.js";
import type { MemoryBudget } from "./memoryBudget.js";
import { memoryGuard } from "./memoryGuard.js";

const checkIntervalMs = 50;
const minCountedBytes = 2 * 1024; // about what an idle connection takes in any case
const uncountedRatio = 1 / 8; // of the budget, for the heads of few connections

/** Options of the heads of one server. */
export interface BegunHeadsOptions {
  readonly server: Server;
  readonly connections: OpenConnections;
  readonly budget: MemoryBudget;
  /** Bytes of one head that Node's parser accepts. */
  readonly maxHeadBytes: () => number;
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
    for (const { socket, bytes } of this.options.connections.begunHeads())
      if (bytes >= minCountedBytes) this.count(socket, bytes);
    if (this.canFillMemory()) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }

  private count(socket: Socket, bytes: number): void {
    const { budget } = this.options;
    const holding = this.holdings.get(socket) ?? this.open(socket);
    const heldBytes = begunHeadMemoryOf(bytes);
    memoryGuard.note(heldBytes - holding.bytes);
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
