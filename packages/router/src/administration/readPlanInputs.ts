/** Reads the state that a plan starts from: configuration, engines and weight store. */

import {
  err,
  now,
  ok,
  type Timestamp,
  type Result,
} from "@cardamomglade/common";
import {
  createActiveConfig,
  type EngineObservation,
  type PlacementSnapshot,
  type WeightId,
} from "@cardamomglade/decisions";
import { readStoredWeights, readWeightRate } from "@cardamomglade/platform";
import { BackEndType, type BackEnd, type Intent } from "@cardamomglade/schema";
import type { Engines } from "@cardamomglade/upstream";
import type {
  ConfigStore,
  StoredConfig,
} from "../configuration/configStore.js";

/** Where the inputs of a plan are read. */
export interface PlanInputSources {
  readonly store: ConfigStore;
  readonly engines: Engines;
  readonly weightStoreUrl: string | undefined;
}

/** Inputs of a plan. */
export interface PlanInputs {
  readonly stored: StoredConfig;
  readonly snapshot: PlacementSnapshot;
  readonly bytesPerSecond: number;
  readonly weights: readonly WeightId[] | undefined;
}

const readTimeoutMs = 2000;
const observeTimeoutMs = 1000;
// Without a weight store, loading a model is assumed to need no transfer.
const noFetchBytesPerSecond = 1e12;

/** Transfer rate of the weight store in bytes per second. */
export const readTransferRate = async (
  url: string | undefined,
  deadline: Timestamp,
): Promise<number> => {
  if (url === undefined) return noFetchBytesPerSecond;
  const rate = await readWeightRate(url, deadline);
  return rate.type === "ok" ? rate.value : noFetchBytesPerSecond;
};

/** Load reports of the engines by back end name; engines that do not answer before the deadline are left out. */
export const observeEngines = async (
  engines: Engines,
  backEnds: readonly BackEnd[],
  deadline: Timestamp,
): Promise<Map<string, EngineObservation>> => {
  const engineBackEnds = backEnds.filter(
    ({ type }) => type === BackEndType.Engine,
  );
  const reports = await Promise.all(
    engineBackEnds.map(async ({ name, url }) => ({
      name,
      report: await engines.readLoad(url, deadline),
    })),
  );
  return new Map(
    reports.flatMap(({ name, report }) =>
      report === undefined
        ? []
        : [
            [
              name,
              { loaded: report.loaded, busy: report.running + report.queued },
            ] as const,
          ],
    ),
  );
};

const backEndsOf = (current: Intent, target: Intent): BackEnd[] => {
  const byName = new Map(
    [...current.backEnds, ...target.backEnds].map((one) => [one.name, one]),
  );
  return [...byName.values()];
};

/** Reads all inputs of a plan for a target intent. */
export const readPlanInputs = async (
  { store, engines, weightStoreUrl }: PlanInputSources,
  target: Intent,
): Promise<Result<PlanInputs, string>> => {
  const at = now();
  const stored = await store.read(at + readTimeoutMs);
  if (stored.type === "err") return err(stored.error);
  const accepted = stored.value.config ?? createActiveConfig().accepted;
  const deadline = now() + observeTimeoutMs;
  const url = weightStoreUrl;
  const [observed, bytesPerSecond, weights] = await Promise.all([
    observeEngines(engines, backEndsOf(accepted.intent, target), deadline),
    readTransferRate(url, deadline),
    url === undefined ? undefined : readStoredWeights(url, deadline),
  ]);
  return ok({
    stored: stored.value,
    snapshot: { at, accepted, observed, settledAt: at },
    bytesPerSecond,
    weights: weights?.type === "ok" ? weights.value : undefined,
  });
};
