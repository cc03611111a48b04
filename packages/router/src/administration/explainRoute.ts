/** Describes a request, a host or a customer from this router's state. */

import { OperatorRight } from "@cardamomglade/schema";
import type { StateView } from "../drivers/types.js";
import type { EventRing } from "../timeline/eventRing.js";
import type { RouterState } from "../types.js";
import { errorResponse } from "./responses.js";
import { streamIdsOn } from "./statusRoutes.js";
import type { AdministrationRoute } from "./types.js";

const explainRequest = (
  { streams }: RouterState,
  ring: EventRing,
  id: string,
) => {
  const events = ring.read({ request: id });
  const entry = streams.get(id);
  if (events.length === 0 && entry === undefined) return undefined;
  const now =
    entry === undefined
      ? undefined
      : {
          customer: entry.request.customer,
          deployment: entry.deployment.name,
          version: entry.deployment.version,
          accepted: entry.acceptedTokenIds.length,
          phase: entry.stream.phase,
        };
  return { type: "request", id, now, events };
};

const explainHost = (state: RouterState, host: string) => {
  const { config } = state;
  const backEnds = config.intent.backEnds.filter((one) => one.host === host);
  if (backEnds.length === 0 && !config.leavingHosts.has(host)) return undefined;
  const names = backEnds.map(({ name }) => name);
  const served = [...config.deploymentsByModel.values()].flat();
  return {
    type: "host",
    host,
    backEnds: names,
    takesNewWork: !config.leavingHosts.has(host),
    leaving: config.intent.leaving.find((one) => one.host === host),
    isListedLeaving: config.listedLeavingHosts.has(host),
    deployments: served
      .filter((one) => one.backEnds.some((name) => names.includes(name)))
      .map(({ name, version }) => ({ name, version })),
    streams: streamIdsOn(state, host),
  };
};

const explainCustomer = ({ config, streams }: RouterState, name: string) => {
  const customer = config.intent.customers.find((one) => one.name === name);
  if (customer === undefined) return undefined;
  const { priority, weight, limits } = customer;
  const isServed = ({ customers }: { customers: readonly string[] }) =>
    customers.includes(name);
  return {
    type: "customer",
    name,
    priority,
    weight,
    limits,
    deployments: [...config.deploymentsByModel.values()]
      .flat()
      .filter(isServed)
      .map((one) => one.name),
    services: config.intent.services.filter(isServed).map((one) => one.name),
    streams: [...streams.values()].filter(
      ({ request }) => request.customer === name,
    ).length,
  };
};

/** `GET /explain?subject=REQUEST|HOST|CUSTOMER`: describes the subject with that id or name. */
export const createExplainRoute = (
  view: StateView,
  ring: EventRing,
): AdministrationRoute => ({
  method: "GET",
  path: "/explain",
  right: OperatorRight.Read,
  handle: ({ query }) => {
    const subject = query.get("subject") ?? "";
    const state = view();
    const found =
      explainHost(state, subject) ??
      explainCustomer(state, subject) ??
      explainRequest(state, ring, subject);
    if (found !== undefined)
      return { status: 200, body: { router: state.router.name, ...found } };
    return errorResponse(
      404,
      "notFound",
      `router "${state.router.name}" knows no request, host or customer "${subject}"`,
    );
  },
});
