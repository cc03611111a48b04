/** Chooses the versions and back ends that serve each deployment while the intent is rolled out. */

import type { Deployment, Intent } from "@cardamomglade/schema";
import { servedDeployments } from "../config/index.js";
import { totalBytesOf, weightKeyOf, weightIdOf } from "../intent/index.js";
import type { EngineObservation, PlacementSnapshot } from "./types.js";

const isSameWeight = (a: Deployment, b: Deployment): boolean =>
  weightKeyOf(weightIdOf(a)) === weightKeyOf(weightIdOf(b));

/** Whether an engine has a deployment's weights loaded. */
export const hasWeightsLoaded = (
  observed: ReadonlyMap<string, EngineObservation>,
  backEnd: string,
  deployment: Deployment,
): boolean => {
  const wanted = weightKeyOf(weightIdOf(deployment));
  const found = observed.get(backEnd);
  return found?.loaded.some((one) => weightKeyOf(one) === wanted) ?? false;
};

/** Back ends of a deployment that are not on leaving hosts. */
export const backEndsOnStayingHosts = (
  intent: Intent,
  { backEnds }: Deployment,
): string[] => {
  const leaving = new Set(intent.leaving.map(({ host }) => host));
  const hosts = new Map(intent.backEnds.map(({ name, host }) => [name, host]));
  return backEnds.filter((name) => !leaving.has(hosts.get(name) ?? ""));
};

/** Whether an engine has memory for a deployment's weights in addition to what is loaded. */
export const hasMemoryFor = (
  { accepted, observed }: PlacementSnapshot,
  backEnd: string,
  deployment: Deployment,
): boolean => {
  const { intent } = accepted;
  const found = intent.backEnds.find(({ name }) => name === backEnd);
  const memory = found?.memoryBytes ?? Infinity;
  const loaded = observed.get(backEnd)?.loaded ?? [];
  return totalBytesOf(intent, [...loaded, weightIdOf(deployment)]) <= memory;
};

const halfOf = (count: number): number => Math.ceil(count / 2);

const withBackEnds = (
  deployment: Deployment,
  backEnds: readonly string[],
): Deployment => ({ ...deployment, backEnds: [...backEnds] });

const addReadyBackEnds = (
  { observed }: PlacementSnapshot,
  served: Deployment,
  wanted: Deployment,
): Deployment => {
  const kept = wanted.backEnds.filter(
    (name) =>
      served.backEnds.includes(name) ||
      hasWeightsLoaded(observed, name, wanted),
  );
  return kept.length === 0 ? served : withBackEnds(wanted, kept);
};

// Takes engines that cannot hold both versions out of service, while at least half keep serving the old version.
const freeBackEndsForNewVersion = (
  snapshot: PlacementSnapshot,
  served: Deployment,
  wanted: Deployment,
): Deployment => {
  const staying = backEndsOnStayingHosts(snapshot.accepted.intent, served);
  const removableCount = staying.length - halfOf(wanted.backEnds.length);
  const lackingMemory = staying.filter(
    (name) =>
      snapshot.observed.has(name) &&
      wanted.backEnds.includes(name) &&
      !hasWeightsLoaded(snapshot.observed, name, wanted) &&
      !hasMemoryFor(snapshot, name, wanted),
  );
  const freed = lackingMemory.slice(
    0,
    Math.max(0, Math.min(removableCount, staying.length - 1)),
  );
  return withBackEnds(
    served,
    served.backEnds.filter((name) => !freed.includes(name)),
  );
};

const switchVersion = (
  snapshot: PlacementSnapshot,
  served: Deployment,
  wanted: Deployment,
): Deployment => {
  const staying = backEndsOnStayingHosts(snapshot.accepted.intent, wanted);
  const ready = staying.filter((name) =>
    hasWeightsLoaded(snapshot.observed, name, wanted),
  );
  const isMemoryShort = staying.some(
    (name) => !ready.includes(name) && !hasMemoryFor(snapshot, name, wanted),
  );
  const requiredReadyCount = isMemoryShort
    ? Math.floor(staying.length / 2)
    : staying.length;
  if (ready.length > 0 && ready.length >= requiredReadyCount)
    return withBackEnds(wanted, ready);
  return freeBackEndsForNewVersion(snapshot, served, wanted);
};

const nextDeploymentOf = (
  snapshot: PlacementSnapshot,
  served: Deployment,
  wanted: Deployment,
): Deployment =>
  isSameWeight(served, wanted)
    ? addReadyBackEnds(snapshot, served, wanted)
    : switchVersion(snapshot, served, wanted);

const isFinal = (served: Deployment, wanted: Deployment): boolean =>
  isSameWeight(served, wanted) &&
  wanted.backEnds.every((name) => served.backEnds.includes(name));

/** The `serving` of the next revision; empty once every deployment is served as the intent requires. */
export const nextServing = (snapshot: PlacementSnapshot): Deployment[] => {
  const { intent } = snapshot.accepted;
  const wantedBy = new Map(intent.deployments.map((one) => [one.name, one]));
  return servedDeployments(snapshot.accepted).flatMap((served) => {
    const wanted = wantedBy.get(served.name);
    if (wanted === undefined) return [];
    const next = nextDeploymentOf(snapshot, served, wanted);
    return isFinal(next, wanted) ? [] : [next];
  });
};

/** The initial `serving` of a new intent: as at present, until its weights are loaded. */
export const initialServing = (
  snapshot: PlacementSnapshot,
  target: Intent,
): Deployment[] => {
  const servedBy = new Map(
    servedDeployments(snapshot.accepted).map((one) => [one.name, one]),
  );
  return target.deployments.flatMap((wanted) => {
    const ready = wanted.backEnds.filter((name) =>
      hasWeightsLoaded(snapshot.observed, name, wanted),
    );
    const served = servedBy.get(wanted.name) ?? withBackEnds(wanted, ready);
    return isFinal(served, wanted) ? [] : [served];
  });
};
