/** Asks replicas to stop runs that their requests left. */

import type { Replica } from "../../types.js";
import { isBackingOff, isIdBackingOff } from "../backOff/backOffs.js";
import type { RelayCommand } from "../commands.js";
import { sampleWithoutReplacement } from "../random.js";
import { isAvailable, isSuspected, replicasOf } from "../replicaViews.js";
import type { RelayState } from "../types.js";
import { openAttemptOf } from "./followRuns.js";
import type { EarlierRun } from "./types.js";

/** Engines that may take the KV cache of a run, those that had no room left out unless all had none. */
const possibleHolders = (
  state: RelayState,
  { replica, rejectedHolders }: EarlierRun,
): Replica[] => {
  const others = replicasOf(state, replica.service).filter(
    (view) =>
      view.replica.id !== replica.id &&
      isAvailable(view) &&
      !isSuspected(view, state.at) &&
      !isBackingOff(state, view),
  );
  const open = others.filter((view) => !rejectedHolders.has(view.replica.id));
  return (open.length > 0 ? open : others).map((view) => view.replica);
};

/** Engine to which a run's KV cache is copied: a run stops only if one can take it. */
const chooseHolder = (
  state: RelayState,
  run: EarlierRun,
): Replica | undefined => {
  const { holder } = run;
  const candidates = possibleHolders(state, run);
  return (
    candidates.find(({ id }) => id === holder?.id) ??
    sampleWithoutReplacement(state, candidates, 1)[0]
  );
};

/** Asks a replica to stop a run, unless such a question is open or the replica wants no requests. */
export const askStop = (state: RelayState, run: EarlierRun): RelayCommand[] => {
  const { key, attempt, requestId, replica, isStoppable, askedAt } = run;
  if (askedAt !== undefined || !isStoppable) return [];
  if (isIdBackingOff(state, replica.id)) return [];
  const holder = chooseHolder(state, run) ?? replica;
  run.askedAt = state.at;
  const open = openAttemptOf(state, run);
  if (open !== undefined) open.stopCount += 1;
  return [{ type: "stopRun", key, attempt, requestId, replica, holder }];
};
