/** Composes heartbeats: news first, bounded. */

import type {
  CustomerDemand,
  Gossip,
  MemberRecord,
} from "@cardamomglade/schema";
import {
  demandsPerMessage,
  recordsPerMessage,
  recordsPerRepair,
  spreadFactor,
} from "./constants.js";
import { countPresent, digestOf } from "./table.js";
import type { MembershipState } from "./types.js";

const recordOf = (
  state: MembershipState,
  router: string,
): MemberRecord | undefined =>
  router === state.self.router ? state.self : state.members.get(router)?.record;

/** The least sent news; each is dropped after a number of times that grows with the fleet's logarithm. */
const takeNews = (state: MembershipState): MemberRecord[] => {
  const most = spreadFactor * Math.ceil(Math.log2(countPresent(state) + 1));
  const waiting = [...state.news].sort((a, b) => a[1] - b[1]);
  const records: MemberRecord[] = [];
  for (const [router, sent] of waiting.slice(0, recordsPerMessage)) {
    const record = recordOf(state, router);
    if (record !== undefined) records.push(record);
    if (sent + 1 >= most) state.news.delete(router);
    else state.news.set(router, sent + 1);
  }
  return records;
};

/** A bounded part of the demands; the next heartbeat goes on after it. */
const takeDemand = (state: MembershipState): CustomerDemand[] => {
  const { demand } = state.heartbeat;
  if (demand.length <= demandsPerMessage) return [...demand];
  const from = state.demandFrom % demand.length;
  state.demandFrom = from + demandsPerMessage;
  return [...demand, ...demand].slice(from, from + demandsPerMessage);
};

/** The next part of the table, for a router whose table differs. */
export const takeRepair = (state: MembershipState): MemberRecord[] => {
  const table = [
    state.self,
    ...[...state.members.values()].map(({ record }) => record),
  ];
  const from = state.repairFrom % table.length;
  state.repairFrom = from + recordsPerRepair;
  const count = Math.min(recordsPerRepair, table.length);
  return [...table, ...table].slice(from, from + count);
};

/** What a heartbeat has besides news. */
export interface GossipParts {
  readonly probe?: number;
  readonly ack?: number;
  readonly relayTo?: string;
  readonly members?: readonly MemberRecord[];
  readonly withDemand?: boolean;
}

/** A heartbeat to send. */
export const composeGossip = (
  state: MembershipState,
  { members = [], withDemand = false, ...rest }: GossipParts,
): Gossip => {
  return {
    type: "gossip",
    from: state.self.router,
    // Stamped with the process's clock when it is sent.
    at: "",
    revision: state.heartbeat.revision,
    members: [...takeNews(state), ...members],
    demand: withDemand ? takeDemand(state) : [],
    digest: digestOf(state),
    ...rest,
  };
};
