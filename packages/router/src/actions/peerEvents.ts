/** Handles events of the connections between routers. */

import { assertNever } from "@cardamomglade/common";
import { removePeerDemand, recordPeerDemand } from "@cardamomglade/decisions";
import { chainSteps } from "./chainSteps.js";
import { claimAnswerReceived } from "./claimAnswerReceived.js";
import { confirmEnd } from "./ledgerClaims.js";
import { claimQuestionReceived, endReportReceived } from "./ledgerMessages.js";
import {
  requestConfigFromPeer,
  configOfferReceived,
  configRequestReceived,
  configGossipReceived,
} from "./configurationPeers.js";
import { stepMembership } from "./memberEvents.js";
import type { EventHandler } from "./types.js";

/** Handles a new connection to another router. */
export const peerLinked: EventHandler<"peerLinked"> = (state, { at, peer }) => {
  const linkedPeers = new Set([...state.linkedPeers, peer]);
  return chainSteps({ ...state, linkedPeers }, [
    (current) => stepMembership(current, { type: "linked", at, peer }),
    (current) => ({
      state: current,
      commands: requestConfigFromPeer(current, peer),
    }),
  ]);
};

/** Handles the loss of the connection to another router. */
export const peerLost: EventHandler<"peerLost"> = (state, { at, peer }) => {
  removePeerDemand(state.limits, peer);
  const left = [...state.linkedPeers].filter((other) => other !== peer);
  return stepMembership(
    { ...state, linkedPeers: new Set(left) },
    { type: "lost", at, peer },
  );
};

/** Passes a message of another router to the handler of its type. */
export const peerMessageReceived: EventHandler<"peerMessageReceived"> = (
  state,
  { at, peer, message },
) => {
  switch (message.type) {
    case "gossip":
      recordPeerDemand(state.limits, peer, message.demand, at);
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
          commands: configGossipReceived(current, peer, message),
        }),
      ]);
    case "configRequest":
      return configRequestReceived(state, peer, message);
    case "configOffer":
      return configOfferReceived(state, at, peer, message);
    case "claimQuestion":
      return claimQuestionReceived(state, peer, message, at);
    case "claimAnswer":
      return claimAnswerReceived(state, message, at);
    case "endReport":
      return endReportReceived(state, peer, message, at);
    case "endConfirmation":
      confirmEnd(state, message.request);
      return { state, commands: [] };
    case "hello":
      return { state, commands: [] };
    default:
      return assertNever(message);
  }
};
