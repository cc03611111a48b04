/** Load and unload orders that move engines towards the intent. */

import {
  BackEndType,
  type BackEnd,
  type Deployment,
  type Intent,
} from "@cardamomglade/schema";
import { servedDeployments } from "../config/index.js";
import {
  totalBytesOf,
  weightsRequiredOn,
  weightKeyOf,
  type WeightId,
} from "../intent/index.js";
import { backEndsOnStayingHosts } from "./nextServing.js";
import type {
  BlockedOrder,
  EngineObservation,
  EngineOrder,
  OrderChoice,
  PlacementSnapshot,
} from "./types.js";

const includesWeight = (list: readonly WeightId[], weight: WeightId): boolean =>
  list.some((one) => weightKeyOf(one) === weightKeyOf(weight));

const deploymentsOnStayingHosts = (intent: Intent): Deployment[] =>
  intent.deployments.map((one) => ({
    ...one,
    backEnds: backEndsOnStayingHosts(intent, one),
  }));

const chooseUnloads = (
  snapshot: PlacementSnapshot,
  backEnd: string,
  { loaded, busy }: EngineObservation,
): OrderChoice => {
  const { intent } = snapshot.accepted;
  const kept = [
    ...weightsRequiredOn(intent.deployments, backEnd),
    ...weightsRequiredOn(servedDeployments(snapshot.accepted), backEnd),
  ];
  const unloads = loaded
    .filter((weight) => !includesWeight(kept, weight))
    .map((weight) => ({ type: "unload" as const, backEnd, weight }));
  if (busy === 0 || snapshot.at >= snapshot.settledAt)
    return { orders: unloads, blocked: [] };
  const reason = `${String(busy)} requests are still in flight on the engine`;
  return {
    orders: [],
    blocked: unloads.map((order) => ({ ...order, reason })),
  };
};

const chooseLoads = (
  { accepted }: PlacementSnapshot,
  { name, memoryBytes = Infinity }: BackEnd,
  { loaded }: EngineObservation,
): OrderChoice => {
  const { intent } = accepted;
  const wanted = weightsRequiredOn(deploymentsOnStayingHosts(intent), name);
  const orders: EngineOrder[] = [];
  const blocked: BlockedOrder[] = [];
  for (const weight of wanted.filter((one) => !includesWeight(loaded, one))) {
    const order = { type: "load" as const, backEnd: name, weight };
    const held = [...loaded, ...orders.map((one) => one.weight), weight];
    const bytes = totalBytesOf(intent, held);
    if (bytes <= memoryBytes) {
      orders.push(order);
      continue;
    }
    const reason = `${String(bytes)} bytes do not fit the memory of ${String(memoryBytes)} bytes`;
    blocked.push({ ...order, reason });
  }
  return { orders, blocked };
};

/** Orders to send now. They depend only on observations, so that the next holder can resume. */
export const nextOrders = (snapshot: PlacementSnapshot): OrderChoice => {
  const { intent } = snapshot.accepted;
  const orders: EngineOrder[] = [];
  const blocked: BlockedOrder[] = [];
  for (const backEnd of intent.backEnds) {
    if (backEnd.type !== BackEndType.Engine) continue;
    const observed = snapshot.observed.get(backEnd.name);
    if (observed === undefined) continue;
    const unloads = chooseUnloads(snapshot, backEnd.name, observed);
    const loads = chooseLoads(snapshot, backEnd, observed);
    orders.push(...unloads.orders, ...loads.orders);
    blocked.push(...unloads.blocked, ...loads.blocked);
  }
  return { orders, blocked };
};
