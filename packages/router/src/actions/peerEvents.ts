/** Events of the mesh between routers. */

import { assertNever } from "@cardamomglade/common";
import {
  askLinkedPeer,
  configOfferReceived,
  configRequestReceived,
  forgetConfigPeer,
  hearConfigGossip,
} from "./configurationPeers.js";
import type { Action } from "./types.js";

/** A link to another router opened. */
export const peerLinked: Action<"peerLinked"> = (state, { peer }) => ({
  state: { ...state, linkedPeers: new Set([...state.linkedPeers, peer]) },
  commands: askLinkedPeer(state, peer),
});

/** A link to another router closed. */
export const peerLost: Action<"peerLost"> = (state, { peer }) => {
  forgetConfigPeer(state, peer);
  const left = [...state.linkedPeers].filter((other) => other !== peer);
  return { state: { ...state, linkedPeers: new Set(left) }, commands: [] };
};

/** Another router sent a message; each type has an action of its own. */
export const peerMessageReceived: Action<"peerMessageReceived"> = (
  state,
  { at, peer, message },
) => {
  switch (message.type) {
    case "gossip":
      return { state, commands: hearConfigGossip(state, peer, message) };
    case "configRequest":
      return configRequestReceived(state, peer, message);
    case "configOffer":
      return configOfferReceived(state, at, peer, message);
    case "hello":
    case "forwardedCall":
    case "forwardedAnswer":
      return { state, commands: [] };
    default:
      return assertNever(message);
  }
};
