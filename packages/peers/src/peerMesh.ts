/** Peer mesh: one authenticated link between each pair of routers. */

import { createServer as createHttpServer, type Server } from "node:http";
import { createServer as createHttpsServer } from "node:https";
import type { AddressInfo } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { nextRetryAt, now } from "@cardamomglade/common";
import type { PeerMessage } from "@cardamomglade/schema";
import {
  dialBackoff,
  maxMessageBytes,
  maxUnauthenticatedLinks,
} from "./constants.js";
import { PeerLink, type LinkOptions } from "./peerLink.js";
import { LinkSide } from "./proof.js";
import type { Mesh, MeshOptions, MeshTraffic } from "./types.js";

/** An address to which a link is maintained. */
interface DialTarget {
  readonly url: string;
  failureCount: number;
  link: PeerLink | undefined;
  /** Name of the router that last answered at the address. */
  lastPeer: string;
  timer: NodeJS.Timeout | undefined;
}

const createServer = ({ listenTls }: MeshOptions): Server =>
  listenTls === undefined
    ? createHttpServer()
    : createHttpsServer({ ...listenTls, rejectUnauthorized: true });

const listen = (server: Server, options: MeshOptions): Promise<string> =>
  new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.address, () => {
      const { port } = server.address() as AddressInfo;
      const scheme = options.listenTls === undefined ? "ws" : "wss";
      resolve(`${scheme}://${options.address}:${String(port)}`);
    });
  });

/** Mesh of links over WebSocket. */
export class PeerMesh implements Mesh {
  private readonly links = new Map<string, PeerLink>();
  private readonly openLinks = new Set<PeerLink>();
  private readonly dialTargets = new Map<string, DialTarget>();
  private sentBytes = 0;
  private receivedBytes = 0;
  private isClosed = false;

  private constructor(
    readonly url: string,
    private readonly options: MeshOptions,
    private readonly server: Server,
    private readonly socketServer: WebSocketServer,
  ) {
    socketServer.on("connection", (socket) => {
      this.accept(socket);
    });
  }

  /** Starts to listen; dials no address before `connect` is called. */
  static async create(options: MeshOptions): Promise<PeerMesh> {
    const server = createServer(options);
    const socketServer = new WebSocketServer({
      server,
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
    });
    const url = await listen(server, options);
    return new PeerMesh(url, options, server, socketServer);
  }

  send(peer: string, message: PeerMessage): boolean {
    return this.links.get(peer)?.send(message) ?? false;
  }

  connect(url: string): void {
    if (this.dialTargets.has(url) || url === this.url) return;
    const target: DialTarget = {
      url,
      failureCount: 0,
      link: undefined,
      lastPeer: "",
      timer: undefined,
    };
    this.dialTargets.set(url, target);
    this.dial(target);
  }

  stopDialing(url: string): void {
    clearTimeout(this.dialTargets.get(url)?.timer);
    this.dialTargets.delete(url);
  }

  traffic(): MeshTraffic {
    const { sentBytes, receivedBytes } = this;
    return { sentBytes, receivedBytes };
  }

  async close(): Promise<void> {
    this.isClosed = true;
    for (const { timer } of this.dialTargets.values()) clearTimeout(timer);
    this.dialTargets.clear();
    for (const link of this.openLinks) link.close();
    this.socketServer.close();
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private accept(socket: WebSocket): void {
    const unauthenticatedCount = [...this.openLinks].filter(
      ({ isAuthenticated }) => !isAuthenticated,
    ).length;
    if (this.isClosed || unauthenticatedCount >= maxUnauthenticatedLinks) {
      socket.terminate();
      return;
    }
    const onClosed = () => undefined;
    const link = this.createLink(socket, LinkSide.Listener, onClosed);
    this.openLinks.add(link);
  }

  private dial(target: DialTarget): void {
    const socket = new WebSocket(target.url, {
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
      handshakeTimeout: 2000,
      ...this.options.dialTls,
    });
    const link = this.createLink(socket, LinkSide.Dialer, () => {
      target.link = undefined;
      target.failureCount = link.isAuthenticated ? 0 : target.failureCount + 1;
      target.lastPeer = link.peer;
      this.scheduleRedial(target);
    });
    target.link = link;
    this.openLinks.add(link);
  }

  private scheduleRedial(target: DialTarget): void {
    if (this.isClosed || this.dialTargets.get(target.url) !== target) return;
    const at = nextRetryAt(
      now(),
      target.failureCount,
      dialBackoff,
      Math.random(),
    );
    // The pair may already have a link, which the other router dialed: check again
    // at the longest backoff interval.
    const isLinked = this.links.has(target.lastPeer);
    const delayMs = isLinked ? dialBackoff.maxMs : at - now();
    target.timer = setTimeout(() => {
      if (this.links.has(target.lastPeer)) this.scheduleRedial(target);
      else this.dial(target);
    }, delayMs);
  }

  private createLink(
    socket: WebSocket,
    side: LinkSide,
    onClosed: () => void,
  ): PeerLink {
    const { router, sharedSecret, onEvent } = this.options;
    const options: LinkOptions = {
      router,
      sharedSecret,
      side,
      onAuthenticated: (link) => {
        this.registerLink(link);
      },
      onMessage: ({ peer }, message) => {
        onEvent({ type: "received", peer, message });
      },
      onClosed: (link) => {
        this.removeLink(link);
        onClosed();
      },
      onSelfConnection: () => {
        // Both ends of the connection are in this process; only the dialing end knows the address.
        if (side === LinkSide.Listener) return;
        for (const target of this.dialTargets.values())
          if (target.link?.peer === "") this.removeSelfTarget(target, socket);
      },
      onBytes: (direction, bytes) => {
        if (direction === "sent") this.sentBytes += bytes;
        else this.receivedBytes += bytes;
      },
    };
    return PeerLink.create(socket, options);
  }

  private removeSelfTarget(target: DialTarget, socket: WebSocket): void {
    if (socket.url === "" || !socket.url.startsWith(target.url)) return;
    this.dialTargets.delete(target.url);
  }

  // If a pair has two links, both routers keep the one dialed by the router whose name sorts first.
  private registerLink(link: PeerLink): void {
    const current = this.links.get(link.peer);
    const { router, onEvent } = this.options;
    if (current === undefined) {
      this.links.set(link.peer, link);
      onEvent({ type: "linked", peer: link.peer });
      return;
    }
    const keptSide = router < link.peer ? LinkSide.Dialer : LinkSide.Listener;
    const isPreferred = link.side === keptSide || current.side !== keptSide;
    if (!isPreferred) {
      link.close();
      return;
    }
    this.links.set(link.peer, link);
    current.close();
  }

  private removeLink(link: PeerLink): void {
    this.openLinks.delete(link);
    if (this.links.get(link.peer) !== link) return;
    this.links.delete(link.peer);
    if (!this.isClosed) this.options.onEvent({ type: "lost", peer: link.peer });
  }
}
