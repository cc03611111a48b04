/** Interfaces of the peer mesh. */

import type { PeerMessage } from "@cardamomglade/schema";

/** Event of the mesh: a link was established or lost, or a message was received. */
export type MeshEvent =
  | { readonly type: "linked"; readonly peer: string }
  | { readonly type: "lost"; readonly peer: string }
  | {
      readonly type: "received";
      readonly peer: string;
      readonly message: PeerMessage;
    };

/** TLS settings of one side of a link, as PEM texts. */
export interface LinkTls {
  readonly key: string;
  readonly cert: string;
  readonly ca?: string;
  readonly requestCert: boolean;
}

/** Options of a mesh. */
export interface MeshOptions {
  readonly router: string;
  readonly address: string;
  readonly port: number;
  readonly sharedSecret: string;
  /** Set if this router accepts links over TLS. */
  readonly listenTls?: LinkTls;
  /** Set if this router dials other routers over TLS. */
  readonly dialTls?: LinkTls;
  readonly onEvent: (event: MeshEvent) => void;
}

/** Bytes sent and received over all links, without WebSocket and TLS overhead. */
export interface MeshTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Authenticated links to other routers, one per router name. */
export interface Mesh {
  /** Address at which other routers reach this router. */
  readonly url: string;
  /** Sends a message; returns false if there is no open link or its send buffer is full. */
  send(peer: string, message: PeerMessage): boolean;
  /** Dials a router's peer address and redials it with backoff if the link is lost. */
  connect(url: string): void;
  /** Stops dialing an address; an open link is kept. */
  stopDialing(url: string): void;
  traffic(): MeshTraffic;
  close(): Promise<void>;
}
