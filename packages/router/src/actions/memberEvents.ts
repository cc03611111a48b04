/** Drives membership and turns its commands into the router's. */

import { assertNever, type Moment } from "@cardamomglade/common";
import {
  countPresent,
  decideMembership,
  demandOf,
  limitPeriodMs,
  refillRetries,
  tendLimits,
  type MembershipCommand,
  type MembershipEvent,
} from "@cardamomglade/decisions";
import { TimelineTopic } from "@cardamomglade/schema";
import type { RouterCommand, RouterState } from "../types.js";
import type { Action, RouterStep } from "./types.js";

const toRouterCommand = (command: MembershipCommand): RouterCommand => {
  switch (command.type) {
    case "send":
      return {
        type: "sendToPeer",
        peer: command.peer,
        message: command.message,
      };
    case "connect":
      return { type: "connectPeer", url: command.url };
    case "forget":
      return { type: "forgetPeer", url: command.url };
    case "changed":
      return {
        type: "record",
        event: {
          topic: TimelineTopic.Member,
          name: command.status,
          detail: command.router,
        },
      };
    default:
      return assertNever(command);
  }
};

/** Folds an event of membership. */
export const stepMembership = (
  state: RouterState,
  event: MembershipEvent,
): RouterStep => {
  const step = decideMembership(state.membership, event);
  return { state, commands: step.commands.map(toRouterCommand) };
};

/** The router's addresses are known. */
export const addressesBound: Action<"addressesBound"> = (
  state,
  { at, peersUrl, callersUrl, administrationUrl },
) =>
  stepMembership(state, {
    type: "listening",
    at,
    url: peersUrl,
    callersUrl,
    administrationUrl,
  });

/** Tells membership the time, with the demand that the heartbeats carry. */
export const tendMembership = (state: RouterState, at: Moment): RouterStep => {
  const { limits, retryBudgets, config } = state;
  state.routing.routers = Math.max(1, countPresent(state.membership));
  if (at >= limits.periodEndsAt) refillRetries(retryBudgets, limitPeriodMs);
  tendLimits(limits, at);
  const demand = demandOf(limits);
  const heartbeat = { revision: config.revision, demand };
  return stepMembership(state, { type: "timePassed", at, heartbeat });
};
