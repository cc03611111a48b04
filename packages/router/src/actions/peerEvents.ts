/** Events of the mesh between routers. */

import { assertNever, type Moment } from "@cardamomglade/common";
import type { Gossip } from "@cardamomglade/schema";
import type { RouterState } from "../types.js";
import {
  askLinkedPeer,
  configOfferReceived,
  configRequestReceived,
  forgetConfigPeer,
  hearConfigGossip,
} from "./configurationPeers.js";
import { stepMembership } from "./memberEvents.js";
import type { Action, RouterStep } from "./types.js";

/** A link to another router opened. */
export const peerLinked: Action<"peerLinked"> = (state, { at, peer }) => {
  const linkedPeers = new Set([...state.linkedPeers, peer]);
  const asked = askLinkedPeer(state, peer);
  const step = stepMembership(
    { ...state, linkedPeers },
    { type: "linked", at, peer },
  );
  return { state: step.state, commands: [...asked, ...step.commands] };
};

/** A link to another router closed. */
export const peerLost: Action<"peerLost"> = (state, { at, peer }) => {
  forgetConfigPeer(state, peer);
  const left = [...state.linkedPeers].filter((other) => other !== peer);
  return stepMembership(
    { ...state, linkedPeers: new Set(left) },
    { type: "lost", at, peer },
  );
};

interface HeardGossip {
  readonly at: Moment;
  readonly peer: string;
  readonly gossip: Gossip;
}

const gossipReceived = (
  state: RouterState,
  { at, peer, gossip }: HeardGossip,
): RouterStep => {
  const config = hearConfigGossip(state, peer, gossip);
  const step = stepMembership(state, {
    type: "gossipReceived",
    at,
    peer,
    gossip,
  });
  return { state: step.state, commands: [...config, ...step.commands] };
};

/** Another router sent a message; each type has an action of its own. */
export const peerMessageReceived: Action<"peerMessageReceived"> = (
  state,
  { at, peer, message },
) => {
  switch (message.type) {
    case "gossip":
      return gossipReceived(state, { at, peer, gossip: message });
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
