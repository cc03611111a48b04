/** Observes engines and sends them orders on behalf of the router that holds the executor role. */

import {
  assertNever,
  abortSignalAt,
  createChannel,
  now,
} from "@cardamomglade/common";
import type { ExecutionCommand } from "@cardamomglade/decisions";
import type { KeyValue } from "@cardamomglade/platform";
import { LogLevel } from "@cardamomglade/schema";
import type { Engines } from "@cardamomglade/upstream";
import { Agent, request, type buildConnector, type Dispatcher } from "undici";
import { executorRole } from "../actions/orderEvents.js";
import {
  observeEngines,
  readTransferRate,
} from "../administration/readPlanInputs.js";
import type { ConfigStore } from "../configuration/configStore.js";
import type { Log } from "../log.js";
import type { RouterEvent } from "../types.js";
import { roleKeyPrefix } from "./leaseDriver.js";
import type { RouterDriver, StateView } from "./types.js";

/** Key of the executor's status report, after the router's own prefix. */
export const executionStatusKey = "executor/status";

/** Dependencies of the driver. */
export interface OrderDriverOptions {
  readonly view: StateView;
  readonly engines: Engines;
  readonly keyValue: KeyValue;
  readonly prefix: string;
  readonly store: ConfigStore;
  readonly weightStoreUrl: string | undefined;
  readonly connector: buildConnector.connector;
  readonly log: Log;
}

type ExecutionCommandOf<T extends ExecutionCommand["type"]> = Extract<
  ExecutionCommand,
  { type: T }
>;

const observeTimeoutMs = 800;
const commitTimeoutMs = 2000;
const reportTimeoutMs = 2000;

const sendOrder = async (
  url: string,
  { order, fencing, notAfter }: ExecutionCommandOf<"sendOrder">,
  dispatcher: Dispatcher,
): Promise<string | undefined> => {
  if (now() >= notAfter) return "the lease ran out before the order was sent";
  try {
    const res = await request(`${url}/orders`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({ type: order.type, fencing, ...order.weight }),
      signal: abortSignalAt(notAfter),
      dispatcher,
    });
    await res.body.dump();
    return res.statusCode === 200
      ? undefined
      : `the engine answered ${String(res.statusCode)}`;
  } catch (error) {
    return `the engine did not answer: ${String(error)}`;
  }
};

/** Performs engine observations, engine orders, commits of the served deployments, and status reports. */
export const createOrderDriver = (
  options: OrderDriverOptions,
): RouterDriver => {
  const { view, engines, keyValue, prefix, store, weightStoreUrl } = options;
  const channel = createChannel<RouterEvent>();
  const dispatcher = new Agent({ connect: options.connector });
  let isObserving = false;

  const observe = async () => {
    if (isObserving) return;
    isObserving = true;
    const deadline = now() + observeTimeoutMs;
    const { backEnds } = view().config.intent;
    const [observed, bytesPerSecond] = await Promise.all([
      observeEngines(engines, backEnds, deadline),
      readTransferRate(weightStoreUrl, deadline),
    ]);
    isObserving = false;
    channel.push({
      type: "enginesObserved",
      at: now(),
      observed,
      bytesPerSecond,
    });
  };

  const performOrder = async (command: ExecutionCommandOf<"sendOrder">) => {
    const url = view().config.backEnds.get(command.order.backEnd)?.url;
    const reason =
      url === undefined
        ? "the back end is no longer in the intent"
        : await sendOrder(url, command, dispatcher);
    const { order } = command;
    channel.push({ type: "orderAnswered", at: now(), order, reason });
  };

  const commitServing = async (
    command: ExecutionCommandOf<"commitServing">,
  ) => {
    const { base, serving, fencing, notAfter } = command;
    const deadline = Math.min(notAfter, now() + commitTimeoutMs);
    const stored = await store.read(deadline);
    if (stored.type === "err") return;
    if (stored.value.config?.revision !== base.revision) return;
    const revision = base.revision + 1;
    const change = {
      by: view().router.name,
      why: `carries out revision ${String(base.revision)}`,
      at: now(),
      planDigest: base.change?.planDigest ?? "",
      changeId: `executor ${String(fencing)} ${String(revision)}`,
    };
    const next = { revision, intent: base.intent, serving, change };
    const key = `${prefix}${roleKeyPrefix}${executorRole}`;
    const guard = { type: "createRevision" as const, key, revision: fencing };
    const outcome = await store.commit(stored.value, next, deadline, [guard]);
    if (outcome.type === "committed") return;
    options.log(
      LogLevel.Warn,
      "change of the served deployments could not be committed",
      {
        detail: outcome.type,
      },
    );
  };

  const writeReport = async ({ status }: ExecutionCommandOf<"report">) => {
    const key = `${prefix}${executionStatusKey}`;
    const value = JSON.stringify(status);
    await keyValue.transact(
      { compare: [], success: [{ type: "put", key, value }], failure: [] },
      now() + reportTimeoutMs,
    );
  };

  const execute = (command: ExecutionCommand): Promise<void> | undefined => {
    switch (command.type) {
      case "observe":
        return observe();
      case "sendOrder":
        return performOrder(command);
      case "commitServing":
        return commitServing(command);
      case "report":
        return writeReport(command);
      default:
        return assertNever(command);
    }
  };

  return {
    events: channel.stream,
    perform: (command) => {
      if (command.type === "execute") void execute(command.command);
    },
    stop: () => dispatcher.destroy(),
  };
};
