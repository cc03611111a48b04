/** Events of the mesh between routers. */

import { assertNever } from "@cardamomglade/common";
import type { Action } from "./types.js";

/** A link to another router opened. */
export const peerLinked: Action<"peerLinked"> = (state, { peer }) => ({
  state: { ...state, linkedPeers: new Set([...state.linkedPeers, peer]) },
  commands: [],
});

/** A link to another router closed. */
export const peerLost: Action<"peerLost"> = (state, { peer }) => {
  const left = [...state.linkedPeers].filter((other) => other !== peer);
  return { state: { ...state, linkedPeers: new Set(left) }, commands: [] };
};

/** Another router sent a message; each type has an action of its own. */
export const peerMessageReceived: Action<"peerMessageReceived"> = (
  state,
  { message },
) => {
  switch (message.type) {
    case "hello":
    case "gossip":
    case "configRequest":
    case "configOffer":
    case "forwardedCall":
    case "forwardedAnswer":
      return { state, commands: [] };
    default:
      return assertNever(message);
  }
};
