/** Names and sizes of weights. */

import type { Deployment, Intent } from "@cardamomglade/schema";
import type { WeightId } from "./types.js";

/** Key of weights in text form; equal for equal weights. */
export const weightKeyOf = ({ model, version, adapter }: WeightId): string =>
  [model, version, adapter ?? ""].join(":");

/** The weights that a deployment needs: its version and, if it has one, its adapter. */
export const weightIdOf = ({
  model,
  version,
  adapter,
}: Deployment): WeightId => ({
  model,
  version,
  ...(adapter === undefined ? {} : { adapter }),
});

/** Size of one version's weights without adapters; 0 where it is unknown. */
const versionBytesOf = (intent: Intent, weight: WeightId): number =>
  versionOf(intent, weight)?.weightBytes ?? 0;

const versionOf = (intent: Intent, { model, version }: WeightId) =>
  intent.models
    .find(({ name }) => name === model)
    ?.versions.find((one) => one.version === version);

const adapterBytesOf = (intent: Intent, weight: WeightId): number =>
  versionOf(intent, weight)?.adapters?.find(
    ({ name }) => name === weight.adapter,
  )?.weightBytes ?? 0;

/** Memory that the weights need together; adapters of one version share its base weights. */
export const totalBytesOf = (
  intent: Intent,
  weights: readonly WeightId[],
): number => {
  const versions = new Map(
    weights.map((one) => [weightKeyOf({ ...one, adapter: "" }), one]),
  );
  const adapters = new Map(weights.map((one) => [weightKeyOf(one), one]));
  const sum = (sizes: number[]) =>
    sizes.reduce((total, bytes) => total + bytes, 0);
  return (
    sum([...versions.values()].map((one) => versionBytesOf(intent, one))) +
    sum([...adapters.values()].map((one) => adapterBytesOf(intent, one)))
  );
};

/** The weights that deployments require on a back end, without duplicates. */
export const weightsRequiredOn = (
  deployments: readonly Deployment[],
  backEnd: string,
): WeightId[] => {
  const wanted = deployments
    .filter(({ backEnds }) => backEnds.includes(backEnd))
    .map(weightIdOf);
  return [...new Map(wanted.map((one) => [weightKeyOf(one), one])).values()];
};
