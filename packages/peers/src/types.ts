/** Interface of the mesh between routers. */

import type { PeerMessage } from "@cardamomglade/schema";

/** What the mesh reports. */
export type MeshEvent =
  | { readonly type: "linked"; readonly peer: string }
  | { readonly type: "lost"; readonly peer: string }
  | {
      readonly type: "received";
      readonly peer: string;
      readonly message: PeerMessage;
    };

/** PEM texts of one side of a link. */
export interface LinkTls {
  readonly key: string;
  readonly cert: string;
  readonly ca?: string;
  readonly requestCert: boolean;
}

/** What a mesh needs. */
export interface MeshOptions {
  readonly router: string;
  readonly address: string;
  readonly port: number;
  readonly sharedSecret: string;
  /** Set where this router listens with TLS. */
  readonly listenTls?: LinkTls;
  /** Set where this router dials with TLS. */
  readonly dialTls?: LinkTls;
  readonly onEvent: (event: MeshEvent) => void;
}

/** Bytes that went over all links, headers of the transport not counted. */
export interface MeshTraffic {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Authenticated links to other routers, by router name. */
export interface Mesh {
  /** Address on which other routers reach this one. */
  readonly url: string;
  /** Sends a message; false where there is no open link or its buffer is full. */
  send(peer: string, message: PeerMessage): boolean;
  /** Dials a router's peer address, again with backoff when the link is lost. */
  connect(url: string): void;
  /** Dials an address no more; an open link stays. */
  forget(url: string): void;
  traffic(): MeshTraffic;
  close(): Promise<void>;
}
