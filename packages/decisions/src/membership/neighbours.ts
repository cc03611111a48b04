/** Choice of the routers that one router keeps links to. */

import { rendezvousOrder, type Moment } from "@cardamomglade/common";
import { MemberStatus, type MemberRecord } from "@cardamomglade/schema";
import { neighboursWanted, rememberMs } from "./constants.js";
import { isPresent } from "./table.js";
import type { MembershipCommand, MembershipState } from "./types.js";

const pick = (
  state: MembershipState,
  count: number,
  fits: (record: MemberRecord) => boolean,
): string[] => {
  const names = [...state.members.values()]
    .map(({ record }) => record)
    .filter((record) => isPresent(record) && fits(record))
    .map(({ router }) => router);
  return rendezvousOrder(state.self.router, names).slice(0, count);
};

const urlOf = (state: MembershipState, router: string): string =>
  state.members.get(router)?.record.url ?? "";

/** Some of the own zone, of the own region and of elsewhere; in a small fleet all. */
const wantedUrls = (state: MembershipState): Set<string> => {
  const { self } = state;
  const isNear = ({ zone, region }: MemberRecord) =>
    zone === self.zone && region === self.region;
  const isRegional = (record: MemberRecord) =>
    record.region === self.region && !isNear(record);
  const isFar = ({ region }: MemberRecord) => region !== self.region;
  const chosen = [
    ...pick(state, neighboursWanted.zone, isNear),
    ...pick(state, neighboursWanted.region, isRegional),
    ...pick(state, neighboursWanted.elsewhere, isFar),
  ];
  const most = Object.values(neighboursWanted).reduce((a, b) => a + b);
  const rest = pick(state, most, ({ router }) => !chosen.includes(router));
  const all = [...chosen, ...rest].slice(0, most);
  return new Set(
    all.map((router) => urlOf(state, router)).filter((url) => url !== ""),
  );
};

/** A dead router is dialed now and then: a partition may have healed. */
const retryUrl = (state: MembershipState, at: Moment): string | undefined => {
  const dead = [...state.members.values()].filter(
    ({ record }) => record.status === MemberStatus.Dead,
  );
  const turn = Math.floor(at / 1000) % Math.max(1, dead.length);
  return dead[turn]?.record.url;
};

const forgetOld = (state: MembershipState, at: Moment): void => {
  for (const [router, { record, changedAt }] of state.members)
    if (!isPresent(record) && at - changedAt > rememberMs)
      state.members.delete(router);
};

/** Connects to the wanted neighbours and forgets the others. */
export const reviewNeighbours = (
  state: MembershipState,
  at: Moment,
): MembershipCommand[] => {
  forgetOld(state, at);
  const wanted = wantedUrls(state);
  const retry = retryUrl(state, at);
  if (retry !== undefined && retry !== "") wanted.add(retry);
  const commands: MembershipCommand[] = [];
  for (const url of state.neighbours)
    if (!wanted.has(url)) commands.push({ type: "forget", url });
  for (const url of wanted)
    if (!state.neighbours.has(url)) commands.push({ type: "connect", url });
  state.neighbours.clear();
  for (const url of wanted) state.neighbours.add(url);
  return commands;
};
