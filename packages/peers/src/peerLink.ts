/** A link to another router: mutual authentication first, then messages. */

import { WebSocket, type RawData } from "ws";
import { now, type Timestamp } from "@cardamomglade/common";
import type { Hello, PeerMessage } from "@cardamomglade/schema";
import { decodeMessage, encodeMessage } from "./codec.js";
import {
  handshakeTimeoutMs,
  maxBufferedBytes,
  pingIntervalMs,
  idleTimeoutMs,
} from "./constants.js";
import {
  createNonce,
  createProof,
  isValidProof,
  LinkSide,
  otherSide,
} from "./proof.js";

/** Options and callbacks of a link. */
export interface LinkOptions {
  readonly router: string;
  readonly sharedSecret: string;
  readonly side: LinkSide;
  readonly onAuthenticated: (link: PeerLink) => void;
  readonly onMessage: (link: PeerLink, message: PeerMessage) => void;
  readonly onClosed: (link: PeerLink) => void;
  /** Called if the connection leads back to this router. */
  readonly onSelfConnection: () => void;
  readonly onBytes: (direction: "sent" | "received", bytes: number) => void;
}

const bytesOf = (data: RawData): Uint8Array => {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
};

/**
 * A link. `peer` is the other router's name, which is verified once
 * `isAuthenticated` is true.
 */
export class PeerLink {
  peer = "";
  isAuthenticated = false;
  private readonly nonce = createNonce();
  private peerNonce = "";
  private lastReceivedAt: Timestamp = now();
  private readonly handshakeTimer: NodeJS.Timeout;
  private readonly pingTimer: NodeJS.Timeout;

  private constructor(
    private readonly socket: WebSocket,
    private readonly options: LinkOptions,
  ) {
    this.handshakeTimer = setTimeout(() => {
      if (!this.isAuthenticated) this.close();
    }, handshakeTimeoutMs);
    this.pingTimer = setInterval(() => {
      this.checkIdle();
    }, pingIntervalMs);
  }

  static create(socket: WebSocket, options: LinkOptions): PeerLink {
    const link = new PeerLink(socket, options);
    link.listen();
    return link;
  }

  get side(): LinkSide {
    return this.options.side;
  }

  /** Sends a message; returns false if the link is not open or its send buffer is full. */
  send(message: PeerMessage): boolean {
    if (!this.isAuthenticated || this.socket.readyState !== WebSocket.OPEN)
      return false;
    if (this.socket.bufferedAmount > maxBufferedBytes) return false;
    this.write(message);
    return true;
  }

  close(): void {
    this.socket.terminate();
  }

  private listen(): void {
    const { socket, options } = this;
    socket.on("message", (data) => {
      this.handleBytes(bytesOf(data));
    });
    socket.on("pong", () => {
      this.lastReceivedAt = now();
    });
    socket.on("error", () => {
      this.close();
    });
    socket.on("close", () => {
      clearTimeout(this.handshakeTimer);
      clearInterval(this.pingTimer);
      options.onClosed(this);
    });
    const sendNonce = () => {
      this.sendHello("");
    };
    if (socket.readyState === WebSocket.OPEN) sendNonce();
    else socket.on("open", sendNonce);
  }

  private sendHello(proof: string): void {
    const { router } = this.options;
    this.write({ type: "hello", router, nonce: this.nonce, proof });
  }

  private write(message: PeerMessage): void {
    const bytes = encodeMessage(message);
    this.options.onBytes("sent", bytes.length);
    this.socket.send(bytes);
  }

  private handleBytes(bytes: Uint8Array): void {
    this.lastReceivedAt = now();
    this.options.onBytes("received", bytes.length);
    const message = decodeMessage(bytes);
    if (message === undefined) {
      this.close();
      return;
    }
    if (message.type === "hello") {
      this.handleHello(message);
      return;
    }
    if (!this.isAuthenticated) {
      this.close();
      return;
    }
    this.options.onMessage(this, message);
  }

  private handleHello(hello: Hello): void {
    if (this.isAuthenticated) return;
    if (this.peerNonce === "") this.answerChallenge(hello);
    else this.verifyProof(hello);
  }

  private answerChallenge({ router, nonce }: Hello): void {
    const { options } = this;
    if (router === options.router) {
      options.onSelfConnection();
      this.close();
      return;
    }
    this.peer = router;
    this.peerNonce = nonce;
    const proof = createProof(options.sharedSecret, {
      side: options.side,
      prover: options.router,
      verifier: router,
      proverNonce: this.nonce,
      verifierNonce: nonce,
    });
    this.sendHello(proof);
  }

  private verifyProof({ router, nonce, proof }: Hello): void {
    const { options } = this;
    const isSamePeer = router === this.peer && nonce === this.peerNonce;
    const isProofValid = isValidProof(proof, options.sharedSecret, {
      side: otherSide(options.side),
      prover: this.peer,
      verifier: options.router,
      proverNonce: this.peerNonce,
      verifierNonce: this.nonce,
    });
    if (!isSamePeer || !isProofValid) {
      this.close();
      return;
    }
    this.isAuthenticated = true;
    clearTimeout(this.handshakeTimer);
    options.onAuthenticated(this);
  }

  private checkIdle(): void {
    if (now() - this.lastReceivedAt > idleTimeoutMs) {
      this.close();
      return;
    }
    if (this.socket.readyState === WebSocket.OPEN) this.socket.ping();
  }
}
