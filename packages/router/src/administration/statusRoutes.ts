/** Routes that tell what is in force and how it came about. */

import { now } from "@cardamomglade/common";
import type { KeyValue } from "@cardamomglade/platform";
import {
  checkDocument,
  OperatorRight,
  validateExecutionStatus,
} from "@cardamomglade/schema";
import type { ConfigStore } from "../configuration/configStore.js";
import { executionKey } from "../drivers/orderDriver.js";
import type { StateView } from "../drivers/types.js";
import type { RouterState } from "../types.js";
import { storeUnavailable } from "./answers.js";
import type { AdministrationAnswer, AdministrationRoute } from "./types.js";

/** What the routes read. */
export interface StatusOptions {
  readonly view: StateView;
  readonly keyValue: KeyValue;
  readonly prefix: string;
  readonly store: ConfigStore;
}

const readTimeoutMs = 1000;

/** Streams of this router whose current attempt runs on a host. */
export const streamsOn = (state: RouterState, host: string): string[] =>
  [...state.streams.values()]
    .filter(({ stream: { phase } }) => {
      if (!("current" in phase)) return false;
      return state.config.backEnds.get(phase.current.backEnd)?.host === host;
    })
    .map(({ request }) => request.requestId);

const leavingOf = (state: RouterState) =>
  [...state.config.leavingHosts].map((host) => {
    const wanted = state.config.intent.leaving.find((one) => one.host === host);
    return {
      host,
      emptyBy: wanted?.emptyBy,
      by: wanted === undefined ? "host list" : "intent",
      streams: streamsOn(state, host).length,
    };
  });

const readExecution = async ({ keyValue, prefix }: StatusOptions) => {
  const deadline = now() + readTimeoutMs;
  const key = `${prefix}${executionKey}`;
  const read = await keyValue.range(key, { prefix: false, deadline });
  const text = read.type === "done" ? read.value.entries[0]?.value : undefined;
  if (text === undefined) return undefined;
  const checked = checkDocument(key, text, validateExecutionStatus);
  return checked.type === "ok" ? checked.value : undefined;
};

const status = async (
  options: StatusOptions,
): Promise<AdministrationAnswer> => {
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
    leaving: leavingOf(state),
    draining: state.draining,
    execution,
  };
  return { status: 200, body };
};

const history = async ({
  store,
}: StatusOptions): Promise<AdministrationAnswer> => {
  const read = await store.history(now() + readTimeoutMs);
  if (read.type === "err") return storeUnavailable(read.error);
  const revisions = read.value.map(({ revision, change }) => ({
    revision,
    ...change,
  }));
  return { status: 200, body: { revisions } };
};

/** `GET /status` and `GET /history`. */
export const createStatusRoutes = (
  options: StatusOptions,
): AdministrationRoute[] => {
  const right = OperatorRight.Read;
  return [
    { method: "GET", path: "/status", right, handle: () => status(options) },
    { method: "GET", path: "/history", right, handle: () => history(options) },
  ];
};
