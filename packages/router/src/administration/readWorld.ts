/** The world that a plan is made for: configuration, engines, weight store. */

import { err, now, ok, type Moment, type Result } from "@cardamomglade/common";
import {
  createConfig,
  type EngineObservation,
  type PlacementWorld,
  type WeightName,
} from "@cardamomglade/decisions";
import { readStoredWeights, readWeightRate } from "@cardamomglade/platform";
import { BackEndType, type BackEnd, type Intent } from "@cardamomglade/schema";
import type { Engines } from "@cardamomglade/upstream";
import type {
  ConfigStore,
  StoredConfig,
} from "../configuration/configStore.js";

/** What reads the world. */
export interface WorldOptions {
  readonly store: ConfigStore;
  readonly engines: Engines;
  readonly weightStoreUrl: string | undefined;
}

/** What a plan needs to know. */
export interface ReadWorld {
  readonly stored: StoredConfig;
  readonly world: PlacementWorld;
  readonly bytesPerSecond: number;
  readonly weights: readonly WeightName[] | undefined;
}

const readTimeoutMs = 2000;
const observeTimeoutMs = 1000;
// Without a weight store, loads are taken to need no fetch.
const localBytesPerSecond = 1e12;

/** The weight store's rate. */
export const readRate = async (
  url: string | undefined,
  deadline: Moment,
): Promise<number> => {
  if (url === undefined) return localBytesPerSecond;
  const rate = await readWeightRate(url, deadline);
  return rate.type === "ok" ? rate.value : localBytesPerSecond;
};

/** What the engines report, by back end; those that do not answer are missing. */
export const observeEngines = async (
  engines: Engines,
  backEnds: readonly BackEnd[],
  deadline: Moment,
): Promise<Map<string, EngineObservation>> => {
  const asked = backEnds.filter(({ type }) => type === BackEndType.Engine);
  const reports = await Promise.all(
    asked.map(async ({ name, url }) => ({
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

/** Reads all that a plan for a target intent needs. */
export const readWorld = async (
  { store, engines, weightStoreUrl }: WorldOptions,
  target: Intent,
): Promise<Result<ReadWorld, string>> => {
  const at = now();
  const stored = await store.read(at + readTimeoutMs);
  if (stored.type === "err") return err(stored.error);
  const accepted = stored.value.config ?? createConfig().accepted;
  const deadline = now() + observeTimeoutMs;
  const url = weightStoreUrl;
  const [observed, bytesPerSecond, weights] = await Promise.all([
    observeEngines(engines, backEndsOf(accepted.intent, target), deadline),
    readRate(url, deadline),
    url === undefined ? undefined : readStoredWeights(url, deadline),
  ]);
  return ok({
    stored: stored.value,
    world: { at, accepted, observed, settledAt: at },
    bytesPerSecond,
    weights: weights?.type === "ok" ? weights.value : undefined,
  });
};
