/** Accepts followers and sends them the changes of this router's watch. */

import { createServer, type IncomingMessage } from "node:http";
import type { WebSocket, WebSocketServer } from "ws";
import {
  now,
  openServerPort,
  type OpeningPort,
  type PortEvent,
} from "@cardamomglade/common";
import type { StorePosition } from "../types.js";
import { messageSince, type ChangeHistory } from "./changeHistory.js";
import { decodeFollowerMessage, encodeSharedMessage } from "./codec.js";
import { maxMessageBytes, maxUnreadBytes } from "./constants.js";
import { bytesOf } from "./followRouter.js";
import { addToTally, takeTally, type OutcomeTally } from "./outcomeTally.js";
import type {
  FollowerMessage,
  RouterAddress,
  SharedMessage,
  SharedOutcomes,
} from "./types.js";

/** What a follower was sent, and what it is to be sent next. */
interface Follower {
  /** Latest position sent to it. */
  position: StorePosition;
  readonly outcomes: OutcomeTally;
}

/** Options of the server. */
export interface FollowerServerOptions {
  readonly address: RouterAddress;
  readonly heartbeatMs: () => number;
  /** The history to share; undefined while the entries have not been listed. */
  readonly history: () => ChangeHistory | undefined;
  /** Whether a host is that of a registered router. */
  readonly isRouter: (host: string) => boolean;
  readonly onFirstFollower: () => void;
  /** Called when a follower knows a later era of the store. */
  readonly onBehind: () => void;
  /** Called with the outcomes that a follower tells. */
  readonly onOutcomes: (outcomes: readonly SharedOutcomes[]) => void;
  readonly onPortEvent: (event: PortEvent) => void;
}

// A request that is no WebSocket handshake.
const upgradeRequiredStatus = 426;

/** Server for followers. */
export class FollowerServer {
  private readonly followers = new Map<WebSocket, Follower>();
  private readonly httpServer = createServer((req, res) => {
    req.resume();
    res.writeHead(upgradeRequiredStatus).end();
  });
  private server: WebSocketServer | undefined;
  private opening: OpeningPort | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;

  private constructor(private readonly options: FollowerServerOptions) {}

  static create(options: FollowerServerOptions): FollowerServer {
    const server = new FollowerServer(options);
    server.listen().catch((error: unknown) => {
      const reason = error instanceof Error ? error.message : String(error);
      options.onPortEvent({ type: "blocked", reason });
    });
    return server;
  }

  /** Returns the number of followers. */
  count(): number {
    return this.followers.size;
  }

  /** Sends new changes to all followers, or a heartbeat if there are none. */
  publish(): void {
    for (const [socket, follower] of this.followers)
      this.sendChanges(socket, follower);
  }

  /** Tells all followers outcomes with the next heartbeat, but the one that told them. */
  share(outcomes: readonly SharedOutcomes[], from?: Follower): void {
    for (const follower of this.followers.values())
      if (follower !== from) addToTally(follower.outcomes, outcomes);
  }

  close(): void {
    this.isClosed = true;
    clearInterval(this.timer);
    this.opening?.stop();
    for (const socket of this.server?.clients ?? []) socket.terminate();
    this.server?.close();
    this.httpServer.close();
    this.httpServer.closeAllConnections();
  }

  private async listen(): Promise<void> {
    const ws = await import("ws");
    if (this.isClosed) return;
    const { address, onPortEvent, isRouter, heartbeatMs } = this.options;
    const { httpServer } = this;
    this.server = new ws.WebSocketServer({
      server: httpServer,
      perMessageDeflate: false,
      maxPayload: maxMessageBytes,
      verifyClient: ({ req }: { readonly req: IncomingMessage }) =>
        isRouter(req.socket.remoteAddress ?? ""),
    });
    // It passes on the errors of the HTTP server, which are reported below.
    this.server.on("error", () => undefined);
    this.server.on("connection", (socket) => {
      this.accept(socket);
    });
    this.opening = openServerPort(httpServer, address, onPortEvent);
    this.timer = setInterval(() => {
      this.publish();
      this.sendOutcomes();
    }, heartbeatMs());
  }

  private accept(socket: WebSocket): void {
    socket.on("error", () => {
      socket.terminate();
    });
    socket.on("close", () => {
      this.followers.delete(socket);
    });
    socket.on("message", (data) => {
      const message = decodeFollowerMessage(bytesOf(data));
      if (message === undefined) socket.terminate();
      else this.receive(socket, message);
    });
  }

  private receive(socket: WebSocket, message: FollowerMessage): void {
    if (message.type === "outcomes") {
      const from = this.followers.get(socket);
      if (from === undefined) return;
      this.share(message.outcomes, from);
      this.options.onOutcomes(message.outcomes);
      return;
    }
    const isFirst = this.followers.size === 0;
    const follower = { position: message.after, outcomes: new Map() };
    this.followers.set(socket, follower);
    if (isFirst) this.options.onFirstFollower();
    this.sendChanges(socket, follower);
  }

  private sendOutcomes(): void {
    for (const [socket, follower] of this.followers) {
      if (follower.outcomes.size === 0) continue;
      const outcomes = takeTally(follower.outcomes);
      this.send(socket, { type: "outcomes", outcomes });
    }
  }

  private sendChanges(socket: WebSocket, follower: Follower): void {
    const history = this.options.history();
    if (history === undefined) return;
    const message = messageSince(history, follower.position, now());
    if (message.type === "changes") follower.position = message;
    if (message.type === "behind") this.options.onBehind();
    this.send(socket, message);
  }

  private send(socket: WebSocket, message: SharedMessage): void {
    if (socket.bufferedAmount > maxUnreadBytes) socket.terminate();
    else socket.send(encodeSharedMessage(message));
  }
}
