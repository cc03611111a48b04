/** Composes heartbeats: gossip messages of bounded size that carry pending updates. */

import type {
  CustomerDemand,
  Gossip,
  MemberRecord,
} from "@cardamomglade/schema";
import {
  demandsPerHeartbeat,
  recordsPerHeartbeat,
  recordsPerSync,
  retransmitFactor,
} from "./constants.js";
import { countActiveMembers, digestOf } from "./memberTable.js";
import type { MembershipState } from "./types.js";

const recordOf = (
  state: MembershipState,
  router: string,
): MemberRecord | undefined =>
  router === state.self.router ? state.self : state.members.get(router)?.record;

/** Takes the least often sent updates. Each is dropped after a number of sends that grows with the logarithm of the fleet size. */
const takeUpdates = (state: MembershipState): MemberRecord[] => {
  const maxSendCount =
    retransmitFactor * Math.ceil(Math.log2(countActiveMembers(state) + 1));
  const waiting = [...state.pendingUpdates].sort((a, b) => a[1] - b[1]);
  const records: MemberRecord[] = [];
  for (const [router, sendCount] of waiting.slice(0, recordsPerHeartbeat)) {
    const record = recordOf(state, router);
    if (record !== undefined) records.push(record);
    if (sendCount + 1 >= maxSendCount) state.pendingUpdates.delete(router);
    else state.pendingUpdates.set(router, sendCount + 1);
  }
  return records;
};

/** Takes a bounded part of the customers' demands; the next heartbeat continues after it. */
const takeDemand = (state: MembershipState): CustomerDemand[] => {
  const { demand } = state.heartbeat;
  if (demand.length <= demandsPerHeartbeat) return [...demand];
  const from = state.nextDemandIndex % demand.length;
  state.nextDemandIndex = from + demandsPerHeartbeat;
  return [...demand, ...demand].slice(from, from + demandsPerHeartbeat);
};

/** Takes the next part of the member table, for a router whose table differs (anti-entropy). */
export const takeSyncRecords = (state: MembershipState): MemberRecord[] => {
  const table = [
    state.self,
    ...[...state.members.values()].map(({ record }) => record),
  ];
  const from = state.nextSyncIndex % table.length;
  state.nextSyncIndex = from + recordsPerSync;
  const count = Math.min(recordsPerSync, table.length);
  return [...table, ...table].slice(from, from + count);
};

/** Optional parts of a heartbeat. */
export interface GossipParts {
  readonly probe?: number;
  readonly ack?: number;
  readonly relayTo?: string;
  readonly members?: readonly MemberRecord[];
  readonly hasDemand?: boolean;
}

/** Composes a heartbeat with pending updates and the given parts. */
export const composeGossip = (
  state: MembershipState,
  { members = [], hasDemand = false, ...rest }: GossipParts,
): Gossip => {
  return {
    type: "gossip",
    from: state.self.router,
    // Filled in with the process's clock when the message is sent.
    at: "",
    revision: state.heartbeat.revision,
    members: [...takeUpdates(state), ...members],
    demand: hasDemand ? takeDemand(state) : [],
    digest: digestOf(state),
    ...rest,
  };
};
