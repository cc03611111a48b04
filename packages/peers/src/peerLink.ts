/** One link to another router: proof on both sides first, then messages. */

import { WebSocket, type RawData } from "ws";
import { now, type Timestamp } from "@cardamomglade/common";
import type { Hello, PeerMessage } from "@cardamomglade/schema";
import { decodeMessage, encodeMessage } from "./codec.js";
import {
  handshakeTimeoutMs,
  maxBufferedBytes,
  pingEveryMs,
  silenceLimitMs,
} from "./constants.js";
import {
  createNonce,
  createProof,
  isProofOf,
  LinkSide,
  otherSide,
} from "./proof.js";

/** What a link needs and reports. */
export interface LinkOptions {
  readonly router: string;
  readonly sharedSecret: string;
  readonly side: LinkSide;
  readonly onProven: (link: PeerLink) => void;
  readonly onMessage: (link: PeerLink, message: PeerMessage) => void;
  readonly onClosed: (link: PeerLink) => void;
  /** The address led back to this router. */
  readonly onSelf: () => void;
  readonly onBytes: (direction: "sent" | "received", bytes: number) => void;
}

const bytesOf = (data: RawData): Uint8Array => {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
};

/** A link; `peer` is the other router's proven name. */
export class PeerLink {
  peer = "";
  isProven = false;
  private readonly nonce = createNonce();
  private peerNonce = "";
  private lastHeardAt: Timestamp = now();
  private readonly handshake: NodeJS.Timeout;
  private readonly pings: NodeJS.Timeout;

  private constructor(
    private readonly socket: WebSocket,
    private readonly options: LinkOptions,
  ) {
    this.handshake = setTimeout(() => {
      if (!this.isProven) this.close();
    }, handshakeTimeoutMs);
    this.pings = setInterval(() => {
      this.checkSilence();
    }, pingEveryMs);
  }

  static create(socket: WebSocket, options: LinkOptions): PeerLink {
    const link = new PeerLink(socket, options);
    link.listen();
    return link;
  }

  get side(): LinkSide {
    return this.options.side;
  }

  /** Sends a message; false where the link is closed or its buffer full. */
  send(message: PeerMessage): boolean {
    if (!this.isProven || this.socket.readyState !== WebSocket.OPEN)
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
      this.hear(bytesOf(data));
    });
    socket.on("pong", () => {
      this.lastHeardAt = now();
    });
    socket.on("error", () => {
      this.close();
    });
    socket.on("close", () => {
      clearTimeout(this.handshake);
      clearInterval(this.pings);
      options.onClosed(this);
    });
    const greet = () => {
      this.sendHello("");
    };
    if (socket.readyState === WebSocket.OPEN) greet();
    else socket.on("open", greet);
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

  private hear(bytes: Uint8Array): void {
    this.lastHeardAt = now();
    this.options.onBytes("received", bytes.length);
    const message = decodeMessage(bytes);
    if (message === undefined) {
      this.close();
      return;
    }
    if (message.type === "hello") {
      this.hearHello(message);
      return;
    }
    if (!this.isProven) {
      this.close();
      return;
    }
    this.options.onMessage(this, message);
  }

  private hearHello(hello: Hello): void {
    if (this.isProven) return;
    if (this.peerNonce === "") this.answerChallenge(hello);
    else this.verifyProof(hello);
  }

  private answerChallenge({ router, nonce }: Hello): void {
    const { options } = this;
    if (router === options.router) {
      options.onSelf();
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
    const isSame = router === this.peer && nonce === this.peerNonce;
    const isRight = isProofOf(proof, options.sharedSecret, {
      side: otherSide(options.side),
      prover: this.peer,
      verifier: options.router,
      proverNonce: this.peerNonce,
      verifierNonce: this.nonce,
    });
    if (!isSame || !isRight) {
      this.close();
      return;
    }
    this.isProven = true;
    clearTimeout(this.handshake);
    options.onProven(this);
  }

  private checkSilence(): void {
    if (now() - this.lastHeardAt > silenceLimitMs) {
      this.close();
      return;
    }
    if (this.socket.readyState === WebSocket.OPEN) this.socket.ping();
  }
}
