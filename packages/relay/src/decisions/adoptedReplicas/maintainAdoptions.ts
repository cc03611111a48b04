/** Looks for replicas that are back, and settles those in use, with each timer tick. */

import type { RelayCommand } from "../commands.js";
import type { RelayState } from "../types.js";
import { isStoreUnavailable } from "./adoptionState.js";
import { confirmAdopted, searchReturned } from "./findReturned.js";
import { tellReturns } from "./returnsTold.js";
import { bindStreams, settleAdoptions } from "./undoAdoptions.js";

/** Maintains adopted replicas; only while the store cannot be read are others looked for. */
export const maintainAdoptions = (state: RelayState): RelayCommand[] => {
  const { adoption } = state;
  const settled = [...settleAdoptions(state), ...bindStreams(state)];
  if (!isStoreUnavailable(state)) {
    adoption.searches.clear();
    adoption.told.clear();
    adoption.news = [];
    return settled;
  }
  return [
    ...settled,
    ...tellReturns(state),
    ...confirmAdopted(state),
    ...searchReturned(state),
  ];
};
