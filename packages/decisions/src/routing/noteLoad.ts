/** Takes in load reports. */

import type { Moment } from "@cardamomglade/common";
import type { LoadedModel, LoadReport } from "@cardamomglade/schema";
import { failuresToEject, reportLifeMs } from "./constants.js";
import { noteFailure } from "./ejection.js";
import type { RoutingState } from "./types.js";
import { ownAt, viewOf } from "./views.js";

/** A report that is late, or the news that none could be read. */
export type LoadNews =
  | { readonly type: "report"; readonly report: LoadReport }
  | { readonly type: "unreadable" };

/** Whether a model version is among the loaded ones. */
export const isLoadedIn = (
  loaded: readonly LoadedModel[],
  wanted: LoadedModel,
): boolean =>
  loaded.some(
    ({ model, version, adapter }) =>
      model === wanted.model &&
      version === wanted.version &&
      (adapter ?? "") === (wanted.adapter ?? ""),
  );

const noteReport = (
  state: RoutingState,
  backEnd: string,
  report: LoadReport,
  at: Moment,
): void => {
  const view = viewOf(state, backEnd);
  const { heard } = view;
  // Reports can overtake each other; an older one is no news.
  if (heard !== undefined && report.at < heard.report.at) return;
  const ageMs = Math.min(reportLifeMs, Math.max(0, at - report.at));
  const trueAt = at - ageMs;
  const total = report.running + report.queued;
  const others = Math.max(0, total - ownAt(view, trueAt));
  const loadsMore = report.loaded.some(
    (one) => heard !== undefined && !isLoadedIn(heard.report.loaded, one),
  );
  if (loadsMore) view.rampFrom = at;
  view.heard = { report, heardAt: at, trueAt, others };
};

/** Takes in news of a back end's load. */
export const noteLoad = (
  state: RoutingState,
  backEnd: string,
  news: LoadNews,
  at: Moment,
): void => {
  if (news.type === "report") {
    noteReport(state, backEnd, news.report, at);
    return;
  }
  // An unreadable report ejects only beside failures of work.
  const { failures } = viewOf(state, backEnd);
  if (failures > 0 && failures < failuresToEject)
    noteFailure(state, backEnd, at);
};
