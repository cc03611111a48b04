/** The table of members: which record wins, and what is news. */

import { hash32, type Moment } from "@cardamomglade/common";
import { MemberStatus, type MemberRecord } from "@cardamomglade/schema";
import type { Member, MembershipCommand, MembershipState } from "./types.js";

const ranks: Readonly<Record<MemberStatus, number>> = {
  [MemberStatus.Alive]: 0,
  [MemberStatus.Suspect]: 1,
  [MemberStatus.Dead]: 2,
  [MemberStatus.Left]: 3,
};

const firstRoundTripMs = 20;

const hashOf = ({ router, incarnation, status }: MemberRecord): number =>
  hash32(`${router}\n${String(incarnation)}\n${status}`);

/** Whether a record replaces the one known. */
export const isNewer = (a: MemberRecord, known: MemberRecord): boolean =>
  a.incarnation === known.incarnation
    ? ranks[a.status] > ranks[known.status]
    : a.incarnation > known.incarnation;

/** Whether a status means that the router takes part. */
export const isPresent = ({ status }: MemberRecord): boolean =>
  status === MemberStatus.Alive || status === MemberStatus.Suspect;

/** Routers that take part, this one included. */
export const countPresent = (state: MembershipState): number => {
  let count = isPresent(state.self) ? 1 : 0;
  for (const { record } of state.members.values())
    if (isPresent(record)) count += 1;
  return count;
};

/** Order-independent digest of the table. */
export const digestOf = (state: MembershipState): number => {
  let sum = isPresent(state.self) ? hashOf(state.self) : 0;
  for (const { record, hash } of state.members.values())
    if (isPresent(record)) sum = (sum + hash) >>> 0;
  return sum;
};

/** Puts a record into the table and makes it news. */
export const putRecord = (
  state: MembershipState,
  record: MemberRecord,
  at: Moment,
): MembershipCommand[] => {
  const known = state.members.get(record.router);
  const hash = hashOf(record);
  state.news.set(record.router, 0);
  if (known === undefined) {
    const member: Member = {
      record,
      hash,
      changedAt: at,
      suspectedBy: new Set(),
      roundTripMs: firstRoundTripMs,
    };
    state.members.set(record.router, member);
    return [{ type: "changed", router: record.router, status: record.status }];
  }
  const isChanged = known.record.status !== record.status;
  known.record = record;
  known.hash = hash;
  known.suspectedBy.clear();
  if (!isChanged) return [];
  known.changedAt = at;
  return [{ type: "changed", router: record.router, status: record.status }];
};

/** Denies a report that this router is not alive. */
const refute = (state: MembershipState, reported: MemberRecord): void => {
  const { self } = state;
  if (reported.incarnation < self.incarnation) return;
  const isRight =
    reported.incarnation === self.incarnation &&
    reported.status === self.status;
  if (isRight) return;
  state.self = { ...self, incarnation: reported.incarnation + 1 };
  state.news.set(self.router, 0);
};

/** Takes in a record from another router. */
export const mergeRecord = (
  state: MembershipState,
  record: MemberRecord,
  from: string,
  at: Moment,
): MembershipCommand[] => {
  if (record.router === state.self.router) {
    refute(state, record);
    return [];
  }
  const known = state.members.get(record.router);
  if (known === undefined && !isPresent(record)) return [];
  const isConfirmation =
    known?.record.status === MemberStatus.Suspect &&
    record.status === MemberStatus.Suspect &&
    record.incarnation === known.record.incarnation;
  if (isConfirmation) known.suspectedBy.add(from);
  if (known !== undefined && !isNewer(record, known.record)) return [];
  const commands = putRecord(state, record, at);
  if (record.status === MemberStatus.Suspect)
    state.members.get(record.router)?.suspectedBy.add(from);
  return commands;
};

/** Changes the status of another router as this one sees it. */
export const setStatus = (
  state: MembershipState,
  member: Member,
  status: MemberStatus,
  at: Moment,
): MembershipCommand[] => {
  const commands = putRecord(state, { ...member.record, status }, at);
  if (status === MemberStatus.Suspect)
    member.suspectedBy.add(state.self.router);
  return commands;
};
