/** Names and sizes of weights. */

import type { Deployment, Intent } from "@cardamomglade/schema";
import type { WeightName } from "./types.js";

/** Text that names weights; equal for equal weights. */
export const weightKey = ({ model, version, adapter }: WeightName): string =>
  [model, version, adapter ?? ""].join(":");

/** The weights a deployment needs: its version, with its adapter if it has one. */
export const weightOf = ({
  model,
  version,
  adapter,
}: Deployment): WeightName => ({
  model,
  version,
  ...(adapter === undefined ? {} : { adapter }),
});

/** Bytes of one version's weights, without adapters; 0 where it is not known. */
const versionBytes = (intent: Intent, weight: WeightName): number =>
  versionOf(intent, weight)?.weightBytes ?? 0;

const versionOf = (intent: Intent, { model, version }: WeightName) =>
  intent.models
    .find(({ name }) => name === model)
    ?.versions.find((one) => one.version === version);

const adapterBytes = (intent: Intent, weight: WeightName): number =>
  versionOf(intent, weight)?.adapters?.find(
    ({ name }) => name === weight.adapter,
  )?.weightBytes ?? 0;

/** Bytes that weights take in memory together; a version's adapters share its weights. */
export const bytesOf = (
  intent: Intent,
  weights: readonly WeightName[],
): number => {
  const versions = new Map(
    weights.map((one) => [weightKey({ ...one, adapter: "" }), one]),
  );
  const adapters = new Map(weights.map((one) => [weightKey(one), one]));
  const sum = (sizes: number[]) =>
    sizes.reduce((total, bytes) => total + bytes, 0);
  return (
    sum([...versions.values()].map((one) => versionBytes(intent, one))) +
    sum([...adapters.values()].map((one) => adapterBytes(intent, one)))
  );
};

/** The weights that deployments want on a back end, each once. */
export const wantedOn = (
  deployments: readonly Deployment[],
  backEnd: string,
): WeightName[] => {
  const wanted = deployments
    .filter(({ backEnds }) => backEnds.includes(backEnd))
    .map(weightOf);
  return [...new Map(wanted.map((one) => [weightKey(one), one])).values()];
};
