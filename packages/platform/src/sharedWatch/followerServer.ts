/** Accepts followers and sends them the changes of this router's watch. */

import type { IncomingMessage } from "node:http";
import type { WebSocket, WebSocketServer } from "ws";
import { now } from "@cardamomglade/common";
import { messageSince, type ChangeHistory } from "./changeHistory.js";
import { decodeFollowRequest, encodeSharedMessage } from "./codec.js";
import { maxMessageBytes, maxUnreadBytes } from "./constants.js";
import { bytesOf } from "./followRouter.js";
import type { RouterAddress } from "./types.js";

/** Options of the server. */
export interface FollowerServerOptions {
  readonly address: RouterAddress;
  readonly heartbeatMs: () => number;
  /** The history to share; undefined while the entries have not been listed. */
  readonly history: () => ChangeHistory | undefined;
  /** Whether a host is that of a registered router. */
  readonly isRouter: (host: string) => boolean;
  readonly onFirstFollower: () => void;
  readonly onError: (reason: string) => void;
}

/** Server for followers. */
export class FollowerServer {
  /** Latest revision sent to each follower. */
  private readonly followers = new Map<WebSocket, number>();
  private server: WebSocketServer | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isClosed = false;

  private constructor(private readonly options: FollowerServerOptions) {}

  static create(options: FollowerServerOptions): FollowerServer {
    const server = new FollowerServer(options);
    server.listen().catch((error: unknown) => {
      options.onError(error instanceof Error ? error.message : String(error));
    });
    return server;
  }

  /** Returns the number of followers. */
  count(): number {
    return this.followers.size;
  }

  /** Sends new changes to all followers, or a heartbeat if there are none. */
  publish(): void {
    for (const socket of this.followers.keys()) this.send(socket);
  }

  close(): void {
    this.isClosed = true;
    clearInterval(this.timer);
    for (const socket of this.server?.clients ?? []) socket.terminate();
    this.server?.close();
  }

  private async listen(): Promise<void> {
    const ws = await import("ws");
    if (this.isClosed) return;
    const { address, onError, isRouter, heartbeatMs } = this.options;
    this.server = new ws.WebSocketServer({
      host: address.host,
      port: address.port,
      perMessageDeflate: false,
      maxPayload: maxMessageBytes,
      verifyClient: ({ req }: { readonly req: IncomingMessage }) =>
        isRouter(req.socket.remoteAddress ?? ""),
    });
    this.server.on("error", (error) => {
      onError(error.message);
    });
    this.server.on("connection", (socket) => {
      this.accept(socket);
    });
    this.timer = setInterval(() => {
      this.publish();
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
      const after = decodeFollowRequest(bytesOf(data));
      if (after === undefined) {
        socket.terminate();
        return;
      }
      const isFirst = this.followers.size === 0;
      this.followers.set(socket, after);
      if (isFirst) this.options.onFirstFollower();
      this.send(socket);
    });
  }

  private send(socket: WebSocket): void {
    const history = this.options.history();
    const after = this.followers.get(socket);
    if (history === undefined || after === undefined) return;
    if (socket.bufferedAmount > maxUnreadBytes) {
      socket.terminate();
      return;
    }
    const message = messageSince(history, after, now());
    if (message.type === "changes")
      this.followers.set(socket, message.revision);
    socket.send(encodeSharedMessage(message));
  }
}
