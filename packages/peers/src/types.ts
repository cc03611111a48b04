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

/** Authenticated links to other routers, by router name. */
export interface Mesh {
  /** Sends a message; false where there is no open link. */
  send(peer: string, message: PeerMessage): boolean;
  /** Dials a router's peer address. */
  connect(url: string): void;
  close(): Promise<void>;
}
