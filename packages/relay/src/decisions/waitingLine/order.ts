/**
 * The order of the requests that wait for room at this router: by rank, then fair between
 * customers, then by the end of their slack. Load pattern: large customers send most of a
 * burst, and less urgent requests find the room that more urgent ones wait for.
 */

import { candidateQueryOf, candidatesAmong } from "../chooseReplica.js";
import { engineQueryOf } from "../queryEngines.js";
import type { Exchange, RelayState, ReplicaView } from "../types.js";
import { hasRoomFor } from "./hasRoomFor.js";

/** The requests of a service that wait for room here. */
export const waitingRequests = (
  state: RelayState,
  service: string,
): Exchange[] =>
  [...state.exchanges.values()].filter(
    (exchange) =>
      exchange.service === service &&
      exchange.roomSearch !== undefined &&
      exchange.attempt === undefined,
  );

/** Requests of a customer that replicas of the service work on for this router. */
const underWayCount = (
  { exchanges }: RelayState,
  { service, customer }: Exchange,
): number =>
  [...exchanges.values()].filter(
    (one) =>
      one.service === service &&
      one.customer === customer &&
      one.attempt !== undefined,
  ).length;

const compare = (state: RelayState, a: Exchange, b: Exchange): number =>
  a.priority - b.priority ||
  underWayCount(state, a) - underWayCount(state, b) ||
  (a.roomSearch?.until ?? Infinity) - (b.roomSearch?.until ?? Infinity);

/** Whether a request has room at one of the engines that it may use. */
const hasUsableRoom = (
  state: RelayState,
  exchange: Exchange,
  engines: readonly ReplicaView[],
): boolean => {
  const ids = engines
    .filter((view) => hasRoomFor(state, view, exchange))
    .map(({ replica }) => replica.id);
  if (ids.length === 0) return false;
  const query = candidateQueryOf(exchange);
  return candidatesAmong(state, query, ids).length > 0;
};

/**
 * Gives the engines' answers to a request to a waiting one that goes before it and has room
 * at one of them, and returns that one, which is to be sent; undefined if there is none.
 */
export const passRoomOn = (
  state: RelayState,
  exchange: Exchange,
): Exchange | undefined => {
  const query = engineQueryOf(exchange);
  if (query?.type !== "loadReports") return undefined;
  const views = [...query.sample]
    .map((id) => state.replicas.get(id))
    .filter((view) => view !== undefined);
  const first = waitingRequests(state, exchange.service)
    .filter(
      (one) => one.wait.type === "room" && compare(state, one, exchange) < 0,
    )
    .sort((a, b) => compare(state, a, b))
    .find((one) => hasUsableRoom(state, one, views));
  if (first !== undefined) first.wait = exchange.wait;
  return first;
};
