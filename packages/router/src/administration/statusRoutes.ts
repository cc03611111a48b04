/** Routes for the configuration in force and its history. */

import { now } from "@cardamomglade/common";
import type { KeyValue } from "@cardamomglade/platform";
import {
  checkDocument,
  OperatorRight,
  validateExecutionStatus,
} from "@cardamomglade/schema";
import type { ConfigStore } from "../configuration/configStore.js";
import { executionStatusKey } from "../drivers/orderDriver.js";
import type { StateView } from "../drivers/types.js";
import type { RouterState } from "../types.js";
import { storeUnavailableResponse } from "./responses.js";
import type { AdministrationResponse, AdministrationRoute } from "./types.js";

/** Dependencies of the routes. */
export interface StatusOptions {
  readonly view: StateView;
  readonly keyValue: KeyValue;
  readonly prefix: string;
  readonly store: ConfigStore;
}

const readTimeoutMs = 1000;

/** Request ids of this router's streams whose current attempt runs on a host. */
export const streamIdsOn = (state: RouterState, host: string): string[] =>
  [...state.streams.values()]
    .filter(({ stream: { phase } }) => {
      if (!("current" in phase)) return false;
      return state.config.backEnds.get(phase.current.backEnd)?.host === host;
    })
    .map(({ request }) => request.requestId);

const leavingHostsOf = (state: RouterState) =>
  [...state.config.leavingHosts].map((host) => {
    const intended = state.config.intent.leaving.find(
      (one) => one.host === host,
    );
    return {
      host,
      emptyBy: intended?.emptyBy,
      by: intended === undefined ? "host list" : "intent",
      streams: streamIdsOn(state, host).length,
    };
  });

const readExecution = async ({ keyValue, prefix }: StatusOptions) => {
  const deadline = now() + readTimeoutMs;
  const key = `${prefix}${executionStatusKey}`;
  const read = await keyValue.range(key, { prefix: false, deadline });
  const text = read.type === "done" ? read.value.entries[0]?.value : undefined;
  if (text === undefined) return undefined;
  const checked = checkDocument(key, text, validateExecutionStatus);
  return checked.type === "ok" ? checked.value : undefined;
};

const status = async (
  options: StatusOptions,
): Promise<AdministrationResponse> => {
  const state = options.view();
  const [stored, execution] = await Promise.all([
    options.store.read(now() + readTimeoutMs),
    readExecution(options),
  ]);
  const { revision, accepted } = state.config;
  const body = {
    router: state.router.name,
    revision,
    storeRevision:
      stored.type === "ok" ? stored.value.config?.revision : undefined,
    store: stored.type === "ok" ? "reachable" : stored.error,
    change: accepted.change,
    serving: accepted.serving ?? [],
    leaving: leavingHostsOf(state),
    draining: state.isDraining,
    execution,
  };
  return { status: 200, body };
};

const history = async ({
  store,
}: StatusOptions): Promise<AdministrationResponse> => {
  const read = await store.history(now() + readTimeoutMs);
  if (read.type === "err") return storeUnavailableResponse(read.error);
  const revisions = read.value.map(({ revision, change }) => ({
    revision,
    ...change,
  }));
  return { status: 200, body: { revisions } };
};

/** `GET /status` and `GET /history`: the configuration in force with its rollout, and earlier revisions. */
export const createStatusRoutes = (
  options: StatusOptions,
): AdministrationRoute[] => {
  const right = OperatorRight.Read;
  return [
    { method: "GET", path: "/status", right, handle: () => status(options) },
    { method: "GET", path: "/history", right, handle: () => history(options) },
  ];
};
