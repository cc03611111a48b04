/** Handles events of the connections between routers. */

import { assertNever } from "@cardamomglade/common";
import { forgetDemand, hearDemand } from "@cardamomglade/decisions";
import { chainSteps } from "./chainSteps.js";
import { claimAnswered } from "./claimAnswered.js";
import { confirmEnd } from "./ledgerClaims.js";
import { claimQuestion, endReport } from "./ledgerMessages.js";
import {
  askLinkedPeer,
  configOfferReceived,
  configRequestReceived,
  hearConfigGossip,
} from "./configurationPeers.js";
import { stepMembership } from "./memberEvents.js";
import type { Action } from "./types.js";

/** Handles a new connection to another router. */
export const peerLinked: Action<"peerLinked"> = (state, { at, peer }) => {
  const linkedPeers = new Set([...state.linkedPeers, peer]);
  return chainSteps({ ...state, linkedPeers }, [
    (current) => stepMembership(current, { type: "linked", at, peer }),
    (current) => ({
      state: current,
      commands: askLinkedPeer(current, peer),
    }),
  ]);
};

/** Handles the loss of the connection to another router. */
export const peerLost: Action<"peerLost"> = (state, { at, peer }) => {
  forgetDemand(state.limits, peer);
  const left = [...state.linkedPeers].filter((other) => other !== peer);
  return stepMembership(
    { ...state, linkedPeers: new Set(left) },
    { type: "lost", at, peer },
  );
};

/** Passes a message of another router to the handler of its type. */
export const peerMessageReceived: Action<"peerMessageReceived"> = (
  state,
  { at, peer, message },
) => {
  switch (message.type) {
    case "gossip":
      hearDemand(state.limits, peer, message.demand, at);
      return chainSteps(state, [
        (current) =>
          stepMembership(current, {
            type: "gossipReceived",
            at,
            peer,
            gossip: message,
          }),
        (current) => ({
          state: current,
          commands: hearConfigGossip(current, peer, message),
        }),
      ]);
    case "configRequest":
      return configRequestReceived(state, peer, message);
    case "configOffer":
      return configOfferReceived(state, at, peer, message);
    case "claimQuestion":
      return claimQuestion(state, peer, message, at);
    case "claimAnswer":
      return claimAnswered(state, message, at);
    case "endReport":
      return endReport(state, peer, message, at);
    case "endConfirmation":
      confirmEnd(state, message.request);
      return { state, commands: [] };
    case "hello":
      return { state, commands: [] };
    default:
      return assertNever(message);
  }
};
