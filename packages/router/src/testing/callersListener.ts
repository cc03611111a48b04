/** Test harness: the callers' listener of a router on the loopback address, with one customer. */

import { once } from "node:events";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { TestContext } from "node:test";
import { applyConfig, createActiveConfig } from "@cardamomglade/decisions";
import {
  Priority,
  validateSettings,
  type Settings,
} from "@cardamomglade/schema";
import { hashSecret } from "../callers/authenticate.js";
import { OpenBodies } from "../connections/openBodies.js";
import { createRouterState } from "../decide.js";
import { createCallerDriver } from "../drivers/callerDriver.js";
import { createMetrics } from "../metrics.js";
import { createHttpServer } from "../tls/createHttpServer.js";

/** Key of the customer. */
export const customerKey = "key-of-the-customer";

const host = "127.0.0.1";
const listen = { address: host, port: 0 };
const identity = { name: "r1", host: "h1", zone: "z1", region: "g1" };

/** Settings of a router with some limits; the others have their defaults. */
export const testSettings = (
  limits: Partial<Settings["limits"]> = {},
): Settings => {
  const document: unknown = {
    router: identity,
    listen: { callers: listen, administration: listen, peers: listen },
    keyValue: { endpoints: ["http://127.0.0.1:1"] },
    cursorKey: "0123456789abcdef",
    operators: [],
    limits,
  };
  if (!validateSettings(document))
    throw new Error(JSON.stringify(validateSettings.errors));
  return document;
};

const activeConfig = () =>
  applyConfig(createActiveConfig(), {
    revision: 1,
    intent: {
      customers: [
        {
          name: "one",
          keyHashes: [hashSecret(customerKey)],
          priority: Priority.Standard,
          weight: 1,
          limits: { concurrent: 10, tokensPerSecond: 1000 },
        },
      ],
      models: [],
      backEnds: [],
      deployments: [],
      services: [],
      leaving: [],
    },
  });

/** Starts the listener; it ends with the test. */
export const startCallersListener = async (
  t: TestContext,
  settings: Settings,
): Promise<{ readonly server: Server; readonly port: number }> => {
  const { limits } = settings;
  const log = () => undefined;
  const bodies = OpenBodies.create(
    Math.max(limits.bodiesBytes, limits.bodyBytes),
  );
  const server = await createHttpServer({ listen, limits, bodies, log });
  const state = { ...createRouterState(identity), config: activeConfig() };
  const driver = createCallerDriver({
    settings,
    view: () => state,
    metrics: createMetrics(),
    server,
    bodies,
  });
  server.listen(0, host);
  await once(server, "listening");
  t.after(() => driver.stop());
  return { server, port: (server.address() as AddressInfo).port };
};
