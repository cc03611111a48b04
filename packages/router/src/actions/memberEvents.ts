/** Steps the membership state machine and maps its commands to router commands. */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import {
  countActiveMembers,
  decideMembership,
  ownDemandOf,
  limitPeriodMs,
  refillRetryBudgets,
  advanceLimitPeriod,
  type MembershipCommand,
  type MembershipEvent,
} from "@cardamomglade/decisions";
import { TimelineTopic } from "@cardamomglade/schema";
import type { RouterCommand, RouterState } from "../types.js";
import type { EventHandler, RouterStep } from "./types.js";

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

/** Applies a membership event. */
export const stepMembership = (
  state: RouterState,
  event: MembershipEvent,
): RouterStep => {
  const step = decideMembership(state.membership, event);
  return { state, commands: step.commands.map(toRouterCommand) };
};

/** Passes the router's bound addresses to membership, which announces them to peers. */
export const addressesBound: EventHandler<"addressesBound"> = (
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

/**
 * Passes the timer tick to membership, with the customers' demand that
 * heartbeats carry; refills the retry budgets when a limit period ends.
 */
export const tickMembership = (
  state: RouterState,
  at: Timestamp,
): RouterStep => {
  const { limits, retryBudgets, config } = state;
  state.routing.routers = Math.max(1, countActiveMembers(state.membership));
  if (at >= limits.periodEndsAt)
    refillRetryBudgets(retryBudgets, limitPeriodMs);
  advanceLimitPeriod(limits, at);
  const demand = ownDemandOf(limits);
  const heartbeat = { revision: config.revision, demand };
  return stepMembership(state, { type: "timerTicked", at, heartbeat });
};
