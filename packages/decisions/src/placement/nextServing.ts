/** Which deployments are served by what, on the way to the intent. */

import type { Deployment, Intent } from "@cardamomglade/schema";
import { servedDeployments } from "../config/index.js";
import { bytesOf, weightKey, weightOf } from "../intent/index.js";
import type { EngineObservation, PlacementWorld } from "./types.js";

const isSameWeight = (a: Deployment, b: Deployment): boolean =>
  weightKey(weightOf(a)) === weightKey(weightOf(b));

/** Whether an engine has a deployment's weights loaded. */
export const isReady = (
  observed: ReadonlyMap<string, EngineObservation>,
  backEnd: string,
  deployment: Deployment,
): boolean => {
  const wanted = weightKey(weightOf(deployment));
  const found = observed.get(backEnd);
  return found?.loaded.some((one) => weightKey(one) === wanted) ?? false;
};

/** Back ends of a deployment that are not on leaving hosts. */
export const stayingBackEnds = (
  intent: Intent,
  { backEnds }: Deployment,
): string[] => {
  const leaving = new Set(intent.leaving.map(({ host }) => host));
  const hosts = new Map(intent.backEnds.map(({ name, host }) => [name, host]));
  return backEnds.filter((name) => !leaving.has(hosts.get(name) ?? ""));
};

/** Whether weights fit an engine beside what is loaded. */
export const fitsBeside = (
  { accepted, observed }: PlacementWorld,
  backEnd: string,
  deployment: Deployment,
): boolean => {
  const { intent } = accepted;
  const found = intent.backEnds.find(({ name }) => name === backEnd);
  const memory = found?.memoryBytes ?? Infinity;
  const loaded = observed.get(backEnd)?.loaded ?? [];
  return bytesOf(intent, [...loaded, weightOf(deployment)]) <= memory;
};

const halfOf = (count: number): number => Math.ceil(count / 2);

const withBackEnds = (
  deployment: Deployment,
  backEnds: readonly string[],
): Deployment => ({ ...deployment, backEnds: [...backEnds] });

const growServing = (
  { observed }: PlacementWorld,
  served: Deployment,
  wanted: Deployment,
): Deployment => {
  const keeps = wanted.backEnds.filter(
    (name) => served.backEnds.includes(name) || isReady(observed, name, wanted),
  );
  return keeps.length === 0 ? served : withBackEnds(wanted, keeps);
};

// Frees engines that cannot hold both versions, while half of them go on serving the old one.
const shrinkServing = (
  world: PlacementWorld,
  served: Deployment,
  wanted: Deployment,
): Deployment => {
  const staying = stayingBackEnds(world.accepted.intent, served);
  const spare = staying.length - halfOf(wanted.backEnds.length);
  const crowded = staying.filter(
    (name) =>
      world.observed.has(name) &&
      wanted.backEnds.includes(name) &&
      !isReady(world.observed, name, wanted) &&
      !fitsBeside(world, name, wanted),
  );
  const freed = crowded.slice(
    0,
    Math.max(0, Math.min(spare, staying.length - 1)),
  );
  return withBackEnds(
    served,
    served.backEnds.filter((name) => !freed.includes(name)),
  );
};

const moveVersion = (
  world: PlacementWorld,
  served: Deployment,
  wanted: Deployment,
): Deployment => {
  const staying = stayingBackEnds(world.accepted.intent, wanted);
  const ready = staying.filter((name) => isReady(world.observed, name, wanted));
  const isCrowded = staying.some(
    (name) => !ready.includes(name) && !fitsBeside(world, name, wanted),
  );
  const enough = isCrowded ? Math.floor(staying.length / 2) : staying.length;
  if (ready.length > 0 && ready.length >= enough)
    return withBackEnds(wanted, ready);
  return shrinkServing(world, served, wanted);
};

const stepDeployment = (
  world: PlacementWorld,
  served: Deployment,
  wanted: Deployment,
): Deployment =>
  isSameWeight(served, wanted)
    ? growServing(world, served, wanted)
    : moveVersion(world, served, wanted);

const isFinal = (served: Deployment, wanted: Deployment): boolean =>
  isSameWeight(served, wanted) &&
  wanted.backEnds.every((name) => served.backEnds.includes(name));

/** The `serving` of the next revision: empty when all is served as the intent wants. */
export const nextServing = (world: PlacementWorld): Deployment[] => {
  const { intent } = world.accepted;
  const wantedBy = new Map(intent.deployments.map((one) => [one.name, one]));
  return servedDeployments(world.accepted).flatMap((served) => {
    const wanted = wantedBy.get(served.name);
    if (wanted === undefined) return [];
    const next = stepDeployment(world, served, wanted);
    return isFinal(next, wanted) ? [] : [next];
  });
};

/** The `serving` with which a new intent starts: as now, until its weights are loaded. */
export const firstServing = (
  world: PlacementWorld,
  target: Intent,
): Deployment[] => {
  const servedBy = new Map(
    servedDeployments(world.accepted).map((one) => [one.name, one]),
  );
  return target.deployments.flatMap((wanted) => {
    const ready = wanted.backEnds.filter((name) =>
      isReady(world.observed, name, wanted),
    );
    const served = servedBy.get(wanted.name) ?? withBackEnds(wanted, ready);
    return isFinal(served, wanted) ? [] : [served];
  });
};
