/** Orders to engines that bring what is loaded towards the intent. */

import {
  BackEndType,
  type BackEnd,
  type Deployment,
  type Intent,
} from "@cardamomglade/schema";
import { servedDeployments } from "../config/index.js";
import {
  bytesOf,
  wantedOn,
  weightKey,
  type WeightName,
} from "../intent/index.js";
import { stayingBackEnds } from "./nextServing.js";
import type {
  BlockedOrder,
  EngineObservation,
  EngineOrder,
  OrderChoice,
  PlacementWorld,
} from "./types.js";

const isIn = (list: readonly WeightName[], weight: WeightName): boolean =>
  list.some((one) => weightKey(one) === weightKey(weight));

const stayingDeployments = (intent: Intent): Deployment[] =>
  intent.deployments.map((one) => ({
    ...one,
    backEnds: stayingBackEnds(intent, one),
  }));

const unloadsOf = (
  world: PlacementWorld,
  backEnd: string,
  { loaded, busy }: EngineObservation,
): OrderChoice => {
  const { intent } = world.accepted;
  const kept = [
    ...wantedOn(intent.deployments, backEnd),
    ...wantedOn(servedDeployments(world.accepted), backEnd),
  ];
  const unloads = loaded
    .filter((weight) => !isIn(kept, weight))
    .map((weight) => ({ type: "unload" as const, backEnd, weight }));
  if (busy === 0 || world.at >= world.settledAt)
    return { orders: unloads, blocked: [] };
  const reason = `${String(busy)} requests still run on the engine`;
  return {
    orders: [],
    blocked: unloads.map((order) => ({ ...order, reason })),
  };
};

const loadsOf = (
  { accepted }: PlacementWorld,
  { name, memoryBytes = Infinity }: BackEnd,
  { loaded }: EngineObservation,
): OrderChoice => {
  const { intent } = accepted;
  const wanted = wantedOn(stayingDeployments(intent), name);
  const orders: EngineOrder[] = [];
  const blocked: BlockedOrder[] = [];
  for (const weight of wanted.filter((one) => !isIn(loaded, one))) {
    const order = { type: "load" as const, backEnd: name, weight };
    const held = [...loaded, ...orders.map((one) => one.weight), weight];
    const bytes = bytesOf(intent, held);
    if (bytes <= memoryBytes) {
      orders.push(order);
      continue;
    }
    const reason = `${String(bytes)} bytes do not fit the memory of ${String(memoryBytes)} bytes`;
    blocked.push({ ...order, reason });
  }
  return { orders, blocked };
};

/** Orders to give now, from what is observed alone; the next holder resumes from the same. */
export const nextOrders = (world: PlacementWorld): OrderChoice => {
  const { intent } = world.accepted;
  const orders: EngineOrder[] = [];
  const blocked: BlockedOrder[] = [];
  for (const backEnd of intent.backEnds) {
    if (backEnd.type !== BackEndType.Engine) continue;
    const observed = world.observed.get(backEnd.name);
    if (observed === undefined) continue;
    const unloads = unloadsOf(world, backEnd.name, observed);
    const loads = loadsOf(world, backEnd, observed);
    orders.push(...unloads.orders, ...loads.orders);
    blocked.push(...unloads.blocked, ...loads.blocked);
  }
  return { orders, blocked };
};
