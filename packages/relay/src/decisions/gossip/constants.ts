/** Limits of the gossip between routers. */

/** Number of routers to which a new item is sent on. */
export const gossipFanout = 4;

/** Interval at which a router sends its current items to one other: covers lost datagrams and new routers. */
export const gossipExchangeIntervalMs = 1000;

/** Items sent in one tick or exchange; bounds the bytes that a router sends in a second. */
export const maxGossipItemCount = 24;

/** New items waiting to be sent on; more are left to the exchanges. */
export const maxFreshItemCount = 256;

/** Conclusions sent in each exchange; the rest of the items is evidence. */
export const maxConclusionCount = 12;
