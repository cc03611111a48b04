/** Limits of the gossip between routers. */

/** Number of routers to which a new item is sent on. */
export const gossipFanout = 4;

/** Interval at which a router sends its current items to one other: covers lost datagrams and new routers. */
export const gossipExchangeIntervalMs = 1000;

/** Items sent in one tick or exchange. */
export const maxGossipItemCount = 24;

/** New items that a router sends on in a second over time; of some 90 bytes, to each of the routers above. */
export const freshItemRatePerS = 12;

/** New items that a router may send on at once after a quiet time. */
export const freshItemBurst = 60;

/** New items waiting to be sent on; more are left to the exchanges. */
export const maxFreshItemCount = 256;

/** Conclusions sent in each exchange; the rest of the items is evidence. */
export const maxConclusionCount = 12;
