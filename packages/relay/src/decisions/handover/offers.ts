/**
 * Asks other routers whether they take requests over, and chooses one. Load pattern: the
 * links of some routers to all replicas are cut, up to all of a zone, and each has to find
 * those that have a path and room, without asking for each request.
 */

import type { Timestamp } from "@cardamomglade/common";
import { formatAddress, type Address } from "../../types.js";
import { isOpen } from "../backOff/backOffs.js";
import type { RelayCommand } from "../commands.js";
import type { RelayEventOf } from "../events.js";
import { isPathLost, pathOf } from "../paths/paths.js";
import { sampleWithoutReplacement } from "../random.js";
import { isKnownRouter, otherRouters, zoneOfRouter } from "../registration.js";
import { removeOldest } from "../removeOldest.js";
import { replicasOf } from "../replicaViews.js";
import type { Exchange, RelayState } from "../types.js";
import {
  askedRouterCount,
  maxTakenOverBytes,
  maxTakenOverCount,
  offerAskIntervalMs,
  offerLifetimeMs,
} from "./constants.js";
import type { HandoverOffer, HandoverState } from "./types.js";

/** Creates the state of a router that was told nothing. */
export const createHandoverState = (): HandoverState => ({
  offers: new Map(),
  heardAt: new Map(),
  askedAt: -Infinity,
  busyUntil: 0,
  handedOnCount: 0,
  takenOverCount: 0,
  refusedCount: 0,
});

/** Requests of other routers that this router may still take over. */
export const freePlaces = (state: RelayState): number => {
  if (state.plannedStop !== undefined || state.at < state.handover.busyUntil)
    return 0;
  let count = 0;
  let bytes = 0;
  for (const { request } of state.exchanges.values()) {
    if (request.handover === undefined) continue;
    count += 1;
    bytes += request.body.length;
  }
  return bytes >= maxTakenOverBytes
    ? 0
    : Math.max(0, maxTakenOverCount - count);
};

const lostServices = ({ paths }: RelayState): string[] =>
  [...paths]
    .filter(([, { state }]) => state.type === "lost")
    .map(([service]) => service);

/** Some routers of the own zone, which cost least, and as many of others: the whole zone may be cut. */
const routersToAsk = (state: RelayState): Address[] => {
  const isNear = (zone: string | undefined) => zone === state.zone;
  return [true, false].flatMap((near) => {
    const group = otherRouters(state).filter(
      ({ zone }) => isNear(zone) === near,
    );
    return sampleWithoutReplacement(state, group, askedRouterCount).map(
      ({ address }) => address,
    );
  });
};

/** Asks some routers for offers, unless that was done just now. */
export const askOffers = (
  state: RelayState,
  intervalMs: number,
): RelayCommand[] => {
  const { handover, at } = state;
  if (at - handover.askedAt < intervalMs) return [];
  handover.askedAt = at;
  const services = lostServices(state);
  return routersToAsk(state).map((to) => ({
    type: "askHandover",
    to,
    services,
  }));
};

/** Asks again while a path is lost, and forgets old offers. */
export const maintainOffers = (state: RelayState): RelayCommand[] => {
  const { offers, heardAt } = state.handover;
  for (const [key, { until }] of offers)
    if (state.at >= until) offers.delete(key);
  removeOldest(
    heardAt,
    state.registration.routers.size,
    (time: Timestamp) => state.at - time > offerLifetimeMs,
  );
  return lostServices(state).length === 0
    ? []
    : askOffers(state, offerAskIntervalMs);
};

/** Whether this router can serve a service's requests for others. */
export const hasOwnPath = (state: RelayState, service: string): boolean =>
  replicasOf(state, service).some((view) => isOpen(state, view)) &&
  pathOf(state, service).state.type === "open";

/** Answers another router's question: which services this one has a path to, and its room. */
export const handoverAsked = (
  state: RelayState,
  { from, services }: RelayEventOf<"handoverAsked">,
): RelayCommand[] => {
  if (!isKnownRouter(state, from)) return [];
  return [
    {
      type: "offerHandover",
      to: from,
      services: services.filter((service) => hasOwnPath(state, service)),
      freePlaces: freePlaces(state),
    },
  ];
};

/** Keeps another router's offer; returns the requests that waited for one. */
export const keepOffer = (
  state: RelayState,
  { from, services, freePlaces: places, at }: RelayEventOf<"handoverOffered">,
): Exchange[] => {
  if (!isKnownRouter(state, from)) return [];
  const { offers, heardAt } = state.handover;
  const key = formatAddress(from);
  heardAt.delete(key);
  heardAt.set(key, at);
  offers.set(key, {
    address: from,
    zone: zoneOfRouter(state, from),
    services: new Set(services),
    freePlaces: places,
    until: at + offerLifetimeMs,
  });
  return [...state.exchanges.values()].filter(
    ({ wait, service }) => wait.type === "offer" && services.includes(service),
  );
};

/** Forgets the offer of a router that refused or was lost. */
export const dropOffer = ({ handover }: RelayState, address: Address): void => {
  handover.offers.delete(formatAddress(address));
};

/**
 * Offers of routers that can take a request over. A router that lost a stream that has
 * begun is used again if no other one offers: it has a path again.
 */
export const usableOffers = (
  state: RelayState,
  { service, triedRouters, head }: Exchange,
): HandoverOffer[] => {
  const offers = [...state.handover.offers.values()].filter(
    ({ services, freePlaces: places, until }) =>
      until > state.at && places > 0 && services.has(service),
  );
  const untried = offers.filter(
    ({ address }) => !triedRouters.has(formatAddress(address)),
  );
  return untried.length === 0 && head !== undefined ? offers : untried;
};

/** Whether a router other than the given one can take a request over. */
export const hasOtherOffer = (
  state: RelayState,
  exchange: Exchange,
  not: Address,
): boolean =>
  usableOffers(state, exchange).some(
    ({ address }) => formatAddress(address) !== formatAddress(not),
  );

/** Of two routers drawn from the nearest that offer to take a request over, the one with more room. */
export const chooseOffer = (
  state: RelayState,
  exchange: Exchange,
): HandoverOffer | undefined => {
  const offers = usableOffers(state, exchange);
  const near = offers.filter(({ zone }) => zone === state.zone);
  const drawn = sampleWithoutReplacement(
    state,
    near.length > 0 ? near : offers,
    2,
  );
  return drawn.sort((a, b) => b.freePlaces - a.freePlaces)[0];
};

/** Whether requests for a service have to go through another router. */
export const mustHandOn = (
  state: RelayState,
  { service }: Pick<Exchange, "service">,
): boolean => isPathLost(state, service);
