/** Table of members: merges records and queues updates for gossip. */

import { hash32, type Timestamp } from "@cardamomglade/common";
import { MemberStatus, type MemberRecord } from "@cardamomglade/schema";
import type { Member, MembershipCommand, MembershipState } from "./types.js";

const statusPrecedence: Readonly<Record<MemberStatus, number>> = {
  [MemberStatus.Alive]: 0,
  [MemberStatus.Suspect]: 1,
  [MemberStatus.Dead]: 2,
  [MemberStatus.Left]: 3,
};

const initialRoundTripMs = 20;

const recordHashOf = ({ router, incarnation, status }: MemberRecord): number =>
  hash32(`${router}\n${String(incarnation)}\n${status}`);

/** Whether a record replaces the known one: by incarnation, then by the precedence of its status. */
export const isNewer = (
  incoming: MemberRecord,
  known: MemberRecord,
): boolean =>
  incoming.incarnation === known.incarnation
    ? statusPrecedence[incoming.status] > statusPrecedence[known.status]
    : incoming.incarnation > known.incarnation;

/** Whether a router is active: alive or suspected. */
export const isActive = ({ status }: MemberRecord): boolean =>
  status === MemberStatus.Alive || status === MemberStatus.Suspect;

/** Number of active routers, including this one. */
export const countActiveMembers = (state: MembershipState): number => {
  let count = isActive(state.self) ? 1 : 0;
  for (const { record } of state.members.values())
    if (isActive(record)) count += 1;
  return count;
};

/** Order-independent digest of the active members. */
export const digestOf = (state: MembershipState): number => {
  let sum = isActive(state.self) ? recordHashOf(state.self) : 0;
  for (const { record, hash } of state.members.values())
    if (isActive(record)) sum = (sum + hash) >>> 0;
  return sum;
};

/** Stores a record and queues it as an update. */
export const storeRecord = (
  state: MembershipState,
  record: MemberRecord,
  at: Timestamp,
): MembershipCommand[] => {
  const known = state.members.get(record.router);
  const hash = recordHashOf(record);
  state.pendingUpdates.set(record.router, 0);
  if (known === undefined) {
    const member: Member = {
      record,
      hash,
      statusChangedAt: at,
      suspectedBy: new Set(),
      roundTripMs: initialRoundTripMs,
    };
    state.members.set(record.router, member);
    return [{ type: "changed", router: record.router, status: record.status }];
  }
  const isChanged = known.record.status !== record.status;
  known.record = record;
  known.hash = hash;
  known.suspectedBy.clear();
  if (!isChanged) return [];
  known.statusChangedAt = at;
  return [{ type: "changed", router: record.router, status: record.status }];
};

/** Refutes a record that differs from this router's own status, by a higher incarnation. */
const refute = (state: MembershipState, reported: MemberRecord): void => {
  const { self } = state;
  if (reported.incarnation < self.incarnation) return;
  const isAccurate =
    reported.incarnation === self.incarnation &&
    reported.status === self.status;
  if (isAccurate) return;
  state.self = { ...self, incarnation: reported.incarnation + 1 };
  state.pendingUpdates.set(self.router, 0);
};

/** Merges a record received from another router. */
export const mergeRecord = (
  state: MembershipState,
  record: MemberRecord,
  from: string,
  at: Timestamp,
): MembershipCommand[] => {
  if (record.router === state.self.router) {
    refute(state, record);
    return [];
  }
  const known = state.members.get(record.router);
  if (known === undefined && !isActive(record)) return [];
  const isConfirmation =
    known?.record.status === MemberStatus.Suspect &&
    record.status === MemberStatus.Suspect &&
    record.incarnation === known.record.incarnation;
  if (isConfirmation) known.suspectedBy.add(from);
  if (known !== undefined && !isNewer(record, known.record)) return [];
  const commands = storeRecord(state, record, at);
  if (record.status === MemberStatus.Suspect)
    state.members.get(record.router)?.suspectedBy.add(from);
  return commands;
};

/** Sets the status of another router in this router's view. */
export const setStatus = (
  state: MembershipState,
  member: Member,
  status: MemberStatus,
  at: Timestamp,
): MembershipCommand[] => {
  const commands = storeRecord(state, { ...member.record, status }, at);
  if (status === MemberStatus.Suspect)
    member.suspectedBy.add(state.self.router);
  return commands;
};
