/** Membership of routers by gossip. */

export { createMembership, decideMembership } from "./decideMembership.js";
export { countPresent, isActive } from "./memberTable.js";
export type {
  Heartbeat,
  Member,
  MembershipCommand,
  MembershipEvent,
  MembershipState,
} from "./types.js";
