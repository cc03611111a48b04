/** Which versions of a service a roll-out opens to a request. */

import type { Replica } from "../../types.js";
import type { Exchange, RelayState } from "../types.js";
import { unknownSoftwareVersion } from "../versions/constants.js";
import { isMistrusted } from "./mistrustedVersions.js";
import { isNewVersion, isStopped, rolloutInForce } from "./rolloutState.js";
import { RolloutAim, RolloutPhase, type Rollout } from "./types.js";

/** What a request says about the versions that it may go to. */
export interface VersionQuery {
  /** Version at which its stream began; undefined if it may go to any. */
  readonly softwareVersion?: string | undefined;
  /** Version to which the roll-out sends it; undefined without one. */
  readonly rolloutAim?: RolloutAim | undefined;
}

/** A repeat goes back to the old version before the move. */
const isForNew = ({ phase }: Rollout, { rolloutAim }: VersionQuery): boolean =>
  rolloutAim === RolloutAim.New ||
  (rolloutAim === RolloutAim.NewSent && phase === RolloutPhase.Moving);

/** Whether a roll-out of the replica's service lets a request go to the replica. */
export const isVersionOpen = (
  state: RelayState,
  { service, softwareVersion }: Replica,
  query: VersionQuery,
): boolean => {
  if (isMistrusted(state, service, softwareVersion)) return false;
  const rollout = rolloutInForce(state, service);
  if (rollout === undefined) return true;
  const isNew = isNewVersion(rollout, softwareVersion);
  if (isNew && isStopped(rollout)) return false;
  // Streams go on at the version at which they began.
  if (query.softwareVersion !== undefined) return true;
  // A replica of unknown version may have the new one.
  if (softwareVersion === unknownSoftwareVersion) return false;
  if (rollout.phase === RolloutPhase.Completed) return isNew;
  return isNew === isForNew(rollout, query);
};

/** Whether the roll-out lets an exchange go to a replica that was chosen in another way. */
export const isOpenToExchange = (
  state: RelayState,
  replica: Replica,
  { softwareVersion, rolloutAim }: Exchange,
): boolean => isVersionOpen(state, replica, { softwareVersion, rolloutAim });
