/** Records load reports of back ends. */

import type { Timestamp } from "@cardamomglade/common";
import type { LoadedModel, LoadReport } from "@cardamomglade/schema";
import { ejectionFailureCount, loadReportTtlMs } from "./constants.js";
import { recordFailure } from "./ejection.js";
import type { RoutingState } from "./types.js";
import { ownInFlightAt, backEndViewOf } from "./backEndView.js";

/** A load report, which may be outdated, or the fact that none could be read. */
export type LoadUpdate =
  | { readonly type: "report"; readonly report: LoadReport }
  | { readonly type: "unreadable" };

/** Whether a model version, with its adapter, is among the loaded ones. */
export const includesModel = (
  loaded: readonly LoadedModel[],
  wanted: LoadedModel,
): boolean =>
  loaded.some(
    ({ model, version, adapter }) =>
      model === wanted.model &&
      version === wanted.version &&
      (adapter ?? "") === (wanted.adapter ?? ""),
  );

const recordReport = (
  state: RoutingState,
  backEnd: string,
  report: LoadReport,
  at: Timestamp,
): void => {
  const view = backEndViewOf(state, backEnd);
  const { lastReport } = view;
  // Reports can arrive out of order; an older one is ignored.
  if (lastReport !== undefined && report.at < lastReport.report.at) return;
  const ageMs = Math.min(loadReportTtlMs, Math.max(0, at - report.at));
  const measuredAt = at - ageMs;
  const total = report.running + report.queued;
  const othersInFlight = Math.max(0, total - ownInFlightAt(view, measuredAt));
  const hasNewModel = report.loaded.some(
    (one) =>
      lastReport !== undefined && !includesModel(lastReport.report.loaded, one),
  );
  if (hasNewModel) view.rampStartedAt = at;
  view.lastReport = {
    report,
    heardAt: at,
    measuredAt,
    othersInFlight,
  };
};

/** Records a load update of a back end. */
export const recordLoad = (
  state: RoutingState,
  backEnd: string,
  update: LoadUpdate,
  at: Timestamp,
): void => {
  if (update.type === "report") {
    recordReport(state, backEnd, update.report, at);
    return;
  }
  // An unreadable report counts as a failure only if requests have failed there too.
  const { failures } = backEndViewOf(state, backEnd);
  if (failures > 0 && failures < ejectionFailureCount)
    recordFailure(state, backEnd, at);
};
