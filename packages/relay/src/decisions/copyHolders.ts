/** Which engines can hold copies of a request's KV cache, and which copies can be used. */

import type { Replica } from "../types.js";
import { isOpen } from "./backOff/backOffs.js";
import { candidateSampleOf } from "./chooseReplica.js";
import { engineOf } from "./engineOf.js";
import { isSuspected } from "./replicaViews.js";
import { copyHolderCandidateCount } from "./room/constants.js";
import { firstWithCopyRoom } from "./room/copyRoom.js";
import { sizeOf } from "./room/requestSize.js";
import { isVersionOpen } from "./rollout/openVersions.js";
import { isWithinLimitDebt } from "./requestLimits.js";
import type { Exchange, KvCacheCopy, RelayState } from "./types.js";

/** Whether the KV cache of a route's requests can be copied between the service's engines. */
export const canCopy = (
  state: RelayState,
  { route, service }: Pick<Exchange, "route" | "service">,
): boolean =>
  route.canResume && engineOf(state, service)?.canCopyKvCache === true;

/**
 * Chooses the engine that holds a KV cache copy: in another zone if possible,
 * so that one failure does not take both.
 */
export const chooseCopyHolder = (
  state: RelayState,
  exchange: Exchange,
  replica: Replica,
  rejected: ReadonlySet<string> = new Set(),
): Replica | undefined => {
  const { service, request } = exchange;
  if (!canCopy(state, exchange)) return undefined;
  const excluded = new Set([...rejected, replica.id]);
  const avoidedZone = replica.zone;
  // Chosen by prompt, not by load: routers that choose by the same load figures
  // would all fill one engine's memory. One that is known to be short of it is left out.
  // The entry of a replica may have been read since the attempt began.
  const current = state.replicas.get(replica.id)?.replica;
  const { softwareVersion } =
    current?.startedAt === replica.startedAt ? current : replica;
  const query = { service, excluded, avoidedZone, softwareVersion };
  const { lastPromptBlockId } = request;
  const size = sizeOf(request);
  const count = lastPromptBlockId === undefined ? 1 : copyHolderCandidateCount;
  const views = candidateSampleOf(state, query, lastPromptBlockId, count);
  return firstWithCopyRoom(state, service, views, size)?.replica;
};

/**
 * Whether a copy is expected to exist: its holder is available and lost no
 * attempt since the copy was made.
 */
export const isCopyUsable = (
  state: RelayState,
  { holder, createdAt }: KvCacheCopy,
): boolean => {
  const view = state.replicas.get(holder.id);
  if (view === undefined || view.lastLossAt > createdAt) return false;
  // A process that came back under the holder's id holds nothing, and may have other software.
  if (view.replica.startedAt !== holder.startedAt) return false;
  return (
    isOpen(state, view) &&
    isVersionOpen(state, holder, holder) &&
    !isSuspected(view, state.at) &&
    isWithinLimitDebt(state, view)
  );
};
