/**
 * The memory that answers to this process's own calls take, apart from that of requests.
 * Load pattern: requests and answers take all they may, while a configuration arrives or
 * engines are asked for their reports.
 */

import { assertNever } from "@cardamomglade/common";
import { MemoryBudget } from "./memoryBudget.js";

/** Whom this process calls for itself. */
export enum CallPeer {
  Store = "store",
  Engine = "engine",
}

const bytesPerMiB = 1024 * 1024;
const maxControlBytes = 32 * bytesPerMiB; // one answer may be half of it
const storeBudget = MemoryBudget.create(maxControlBytes);
const engineBudget = MemoryBudget.create(maxControlBytes);

/** Returns the budget of what a peer answers. */
export const controlBudgetOf = (peer: CallPeer): MemoryBudget => {
  switch (peer) {
    case CallPeer.Store:
      return storeBudget;
    case CallPeer.Engine:
      return engineBudget;
    default:
      return assertNever(peer);
  }
};
