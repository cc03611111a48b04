/** Chooses the neighbours: the routers that this router keeps links to. */

import { rendezvousOrder, type Timestamp } from "@cardamomglade/common";
import { MemberStatus, type MemberRecord } from "@cardamomglade/schema";
import { neighbourCounts, departedRetentionMs } from "./constants.js";
import { isActive } from "./memberTable.js";
import type { MembershipCommand, MembershipState } from "./types.js";

const pickRouters = (
  state: MembershipState,
  count: number,
  fits: (record: MemberRecord) => boolean,
): string[] => {
  const names = [...state.members.values()]
    .map(({ record }) => record)
    .filter((record) => isActive(record) && fits(record))
    .map(({ router }) => router);
  return rendezvousOrder(state.self.router, names).slice(0, count);
};

const urlOf = (state: MembershipState, router: string): string =>
  state.members.get(router)?.record.url ?? "";

/** URLs of routers in the own zone, in other zones of the region and in other regions; in a small fleet, of all routers. */
const chooseNeighbourUrls = (state: MembershipState): Set<string> => {
  const { self } = state;
  const isNear = ({ zone, region }: MemberRecord) =>
    zone === self.zone && region === self.region;
  const isRegional = (record: MemberRecord) =>
    record.region === self.region && !isNear(record);
  const isFar = ({ region }: MemberRecord) => region !== self.region;
  const chosen = [
    ...pickRouters(state, neighbourCounts.zone, isNear),
    ...pickRouters(state, neighbourCounts.region, isRegional),
    ...pickRouters(state, neighbourCounts.elsewhere, isFar),
  ];
  const most = Object.values(neighbourCounts).reduce((a, b) => a + b);
  const rest = pickRouters(
    state,
    most,
    ({ router }) => !chosen.includes(router),
  );
  const all = [...chosen, ...rest].slice(0, most);
  return new Set(
    all.map((router) => urlOf(state, router)).filter((url) => url !== ""),
  );
};

/** A dead router is dialed from time to time, because a network partition may have healed. */
const deadRouterUrl = (
  state: MembershipState,
  at: Timestamp,
): string | undefined => {
  const dead = [...state.members.values()].filter(
    ({ record }) => record.status === MemberStatus.Dead,
  );
  const index = Math.floor(at / 1000) % Math.max(1, dead.length);
  return dead[index]?.record.url;
};

const removeDepartedMembers = (state: MembershipState, at: Timestamp): void => {
  for (const [router, { record, statusChangedAt }] of state.members)
    if (!isActive(record) && at - statusChangedAt > departedRetentionMs)
      state.members.delete(router);
};

/** Connects to newly chosen neighbours and drops those that are no longer chosen. */
export const updateNeighbours = (
  state: MembershipState,
  at: Timestamp,
): MembershipCommand[] => {
  removeDepartedMembers(state, at);
  const wanted = chooseNeighbourUrls(state);
  const deadUrl = deadRouterUrl(state, at);
  if (deadUrl !== undefined && deadUrl !== "") wanted.add(deadUrl);
  const commands: MembershipCommand[] = [];
  for (const url of state.neighbours)
    if (!wanted.has(url)) commands.push({ type: "forget", url });
  for (const url of wanted)
    if (!state.neighbours.has(url)) commands.push({ type: "connect", url });
  state.neighbours.clear();
  for (const url of wanted) state.neighbours.add(url);
  return commands;
};
