/** Membership of routers by gossip. */

export { createMembership, decideMembership } from "./decideMembership.js";
export { countActiveMembers, isActive } from "./memberTable.js";
export type {
  HeartbeatPayload,
  Member,
  MembershipCommand,
  MembershipEvent,
  MembershipState,
} from "./types.js";
