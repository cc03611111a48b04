/** The mesh: one authenticated link a pair of routers. */

import { createServer as createHttpServer, type Server } from "node:http";
import { createServer as createHttpsServer } from "node:https";
import type { AddressInfo } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import { nextRetryAt, now } from "@cardamomglade/common";
import type { PeerMessage } from "@cardamomglade/schema";
import { dialBackoff, maxMessageBytes, maxUnprovenLinks } from "./constants.js";
import { PeerLink, type LinkOptions } from "./peerLink.js";
import { LinkSide } from "./proof.js";
import type { Mesh, MeshOptions, MeshTraffic } from "./types.js";

/** An address that is kept linked. */
interface Dial {
  readonly url: string;
  failures: number;
  link: PeerLink | undefined;
  /** Router that answered at the address last. */
  peer: string;
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

/** Links over WebSocket. */
export class PeerMesh implements Mesh {
  private readonly links = new Map<string, PeerLink>();
  private readonly open = new Set<PeerLink>();
  private readonly dials = new Map<string, Dial>();
  private sentBytes = 0;
  private receivedBytes = 0;
  private isClosed = false;

  private constructor(
    readonly url: string,
    private readonly options: MeshOptions,
    private readonly server: Server,
    private readonly sockets: WebSocketServer,
  ) {
    sockets.on("connection", (socket) => {
      this.accept(socket);
    });
  }

  /** Listens; dials nothing until `connect`. */
  static async create(options: MeshOptions): Promise<PeerMesh> {
    const server = createServer(options);
    const sockets = new WebSocketServer({
      server,
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
    });
    const url = await listen(server, options);
    return new PeerMesh(url, options, server, sockets);
  }

  send(peer: string, message: PeerMessage): boolean {
    return this.links.get(peer)?.send(message) ?? false;
  }

  connect(url: string): void {
    if (this.dials.has(url) || url === this.url) return;
    const dial: Dial = {
      url,
      failures: 0,
      link: undefined,
      peer: "",
      timer: undefined,
    };
    this.dials.set(url, dial);
    this.dial(dial);
  }

  forget(url: string): void {
    clearTimeout(this.dials.get(url)?.timer);
    this.dials.delete(url);
  }

  traffic(): MeshTraffic {
    const { sentBytes, receivedBytes } = this;
    return { sentBytes, receivedBytes };
  }

  async close(): Promise<void> {
    this.isClosed = true;
    for (const { timer } of this.dials.values()) clearTimeout(timer);
    this.dials.clear();
    for (const link of this.open) link.close();
    this.sockets.close();
    this.server.closeAllConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private accept(socket: WebSocket): void {
    const unproven = [...this.open].filter(({ isProven }) => !isProven).length;
    if (this.isClosed || unproven >= maxUnprovenLinks) {
      socket.terminate();
      return;
    }
    const onClosed = () => undefined;
    const link = this.createLink(socket, LinkSide.Listener, onClosed);
    this.open.add(link);
  }

  private dial(dial: Dial): void {
    const socket = new WebSocket(dial.url, {
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
      handshakeTimeout: 2000,
      ...this.options.dialTls,
    });
    const link = this.createLink(socket, LinkSide.Dialer, () => {
      dial.link = undefined;
      dial.failures = link.isProven ? 0 : dial.failures + 1;
      dial.peer = link.peer;
      this.redial(dial);
    });
    dial.link = link;
    this.open.add(link);
  }

  private redial(dial: Dial): void {
    if (this.isClosed || this.dials.get(dial.url) !== dial) return;
    const at = nextRetryAt(now(), dial.failures, dialBackoff, Math.random());
    // The other router may hold the pair's link already: look again, but seldom.
    const isLinked = this.links.has(dial.peer);
    const waitMs = isLinked ? dialBackoff.maxMs : at - now();
    dial.timer = setTimeout(() => {
      if (this.links.has(dial.peer)) this.redial(dial);
      else this.dial(dial);
    }, waitMs);
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
      onProven: (link) => {
        this.admit(link);
      },
      onMessage: ({ peer }, message) => {
        onEvent({ type: "received", peer, message });
      },
      onClosed: (link) => {
        this.drop(link);
        onClosed();
      },
      onSelf: () => {
        // Both ends of the connection are here; only the dialing one has an address.
        if (side === LinkSide.Listener) return;
        for (const dial of this.dials.values())
          if (dial.link?.peer === "") this.forgetSelf(dial, socket);
      },
      onBytes: (direction, bytes) => {
        if (direction === "sent") this.sentBytes += bytes;
        else this.receivedBytes += bytes;
      },
    };
    return PeerLink.create(socket, options);
  }

  private forgetSelf(dial: Dial, socket: WebSocket): void {
    if (socket.url === "" || !socket.url.startsWith(dial.url)) return;
    this.dials.delete(dial.url);
  }

  // Of two links of one pair both ends keep the one that the lesser name dialed.
  private admit(link: PeerLink): void {
    const held = this.links.get(link.peer);
    const { router, onEvent } = this.options;
    if (held === undefined) {
      this.links.set(link.peer, link);
      onEvent({ type: "linked", peer: link.peer });
      return;
    }
    const keeps = router < link.peer ? LinkSide.Dialer : LinkSide.Listener;
    const isBetter = link.side === keeps || held.side !== keeps;
    if (!isBetter) {
      link.close();
      return;
    }
    this.links.set(link.peer, link);
    held.close();
  }

  private drop(link: PeerLink): void {
    this.open.delete(link);
    if (this.links.get(link.peer) !== link) return;
    this.links.delete(link.peer);
    if (!this.isClosed) this.options.onEvent({ type: "lost", peer: link.peer });
  }
}
