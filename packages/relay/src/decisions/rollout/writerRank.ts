/** Which router writes a phase first. */

import { rendezvousOrder } from "@cardamomglade/common";
import { rankOf } from "../registration.js";
import type { RelayState } from "../types.js";
import { freshReports, knowsMostRouters } from "./reports.js";
import type { Rollout, RolloutReport } from "./types.js";

const routerOf = ({ source }: RolloutReport): string =>
  source.slice(0, source.lastIndexOf("@"));

/**
 * This router's place among those that write phases: lost routers, which are not heard of
 * any more, have none where this one gets the reports of most.
 */
export const writerRankOf = (state: RelayState, rollout: Rollout): number => {
  const { router } = state;
  const { service } = rollout.order;
  if (!knowsMostRouters(state, rollout)) return rankOf(state, service);
  const heard = freshReports(state, rollout).map(routerOf);
  const alive = new Set([...heard, router]);
  return rendezvousOrder(service, [...alive]).indexOf(router);
};
