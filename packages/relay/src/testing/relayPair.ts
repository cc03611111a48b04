/** Test harness: a relay without a path to the replicas, and one that has it, between raw connections. */

import { afterEach } from "node:test";
import {
  createChannel,
  createSourceDriver,
  now,
  type Timestamp,
} from "@cardamomglade/common";
import { freePort } from "@cardamomglade/common/testing/freePort";
import { createRelay } from "../createRelay.js";
import type { RelayEvent } from "../decisions/events.js";
import type { Address, RelayConfig, Replica } from "../types.js";
import {
  startRawReplica,
  type RawReplica,
  type RawResponder,
} from "./rawReplica.js";
import { plainService, testConfig, testReplica } from "./scenario.js";
import { testProtocol } from "./testProtocol.js";
import { testStateOptions } from "./testStateOptions.js";
import { patientMs, withReports } from "./testRelay.js";
import { untilReady } from "./untilReady.js";

const host = "127.0.0.1";
const replicaCount = 3;

/** A relay of the pair. */
export interface PairedRelay {
  /** Stops it by a deadline; only the first call counts. */
  readonly drain: (deadline: Timestamp) => Promise<void>;
  readonly port: number;
  /** Where it hears other routers; it takes requests over at the port after it. */
  readonly address: Address;
  readonly messages: string[];
}

/** Both relays and the replica that one of them reaches. */
export interface RelayPair {
  readonly cut: PairedRelay;
  readonly helper: PairedRelay;
  readonly replica: RawReplica;
  readonly stop: () => Promise<void>;
}

interface PairOptions {
  readonly service?: string;
  /** Whether the helper has no path either. */
  readonly isHelperCut?: boolean;
  /** Host under which the relays are registered. */
  readonly registeredHost?: string;
  /** Whether routes leave requests all their budget. */
  readonly isPatient?: boolean;
  /** Descriptors of each relay. */
  readonly maxDescriptors?: number;
}

const startedPairs: RelayPair[] = [];

// A test that fails leaves its relays running, and the process would not end.
afterEach(async () => {
  for (const pair of startedPairs.splice(0)) await pair.stop();
});

const replicasAt = (service: string, port: number): Replica[] =>
  Array.from({ length: replicaCount }, (_, index) =>
    testReplica(`a-${String(index + 1)}`, service, { host, port }),
  );

const patientConfig = (): RelayConfig => {
  const config = testConfig();
  const routes = config.routes.map((one) => ({ ...one, timeoutMs: patientMs }));
  return { ...config, routes };
};

const startOne = async (
  router: string,
  replicas: readonly Replica[],
  config: RelayConfig,
  maxDescriptors: number | undefined,
): Promise<PairedRelay & { readonly push: (event: RelayEvent) => void }> => {
  const address = { host, port: await freePort(2) }; // requests of routers come at the second
  const port = await freePort();
  const readiness = { host, port: await freePort() };
  const events = createChannel<RelayEvent>();
  const messages: string[] = [];
  const relay = createRelay({
    front: { host, port },
    readiness,
    metrics: { host, port: await freePort() },
    protocol: testProtocol,
    state: { ...testStateOptions(router), address },
    log: (_, message) => messages.push(message),
    platform: [createSourceDriver(events.stream)],
    onLoopEnded: () => undefined,
    gauges: () => ({}),
    maxDescriptors: () => maxDescriptors,
  });
  events.push({ type: "configRead", at: now(), config });
  events.push({ type: "replicasRead", at: now(), replicas });
  await untilReady(readiness);
  const push = (event: RelayEvent) => {
    events.push(event);
  };
  let stopped: Promise<void> | undefined;
  const drain = (deadline: Timestamp) => (stopped ??= relay.drain(deadline));
  return { drain, port, address, messages, push };
};

/** Starts two relays that know each other; nothing listens where the first one looks for replicas. */
export const startRelayPair = async (
  answer: RawResponder,
  {
    service = plainService,
    isHelperCut = false,
    registeredHost = host,
    isPatient = false,
    maxDescriptors,
  }: PairOptions = {},
): Promise<RelayPair> => {
  const replica = await startRawReplica(withReports(answer));
  const unreachable = replicasAt(service, await freePort());
  const reachable = replicasAt(service, replica.port);
  const config = isPatient ? patientConfig() : testConfig();
  const cut = await startOne("r1", unreachable, config, maxDescriptors);
  const others = isHelperCut ? unreachable : reachable;
  const helper = await startOne("r2", others, config, maxDescriptors);
  const entries = [cut, helper].map(({ address }, index) => ({
    router: `r${String(index + 1)}`,
    lease: "l",
    address: { ...address, host: registeredHost },
    zone: "a",
  }));
  for (const { push } of [cut, helper])
    push({ type: "routersRead", at: now(), entries });
  const pair: RelayPair = {
    cut,
    helper,
    replica,
    stop: async () => {
      await Promise.all([cut.drain(now()), helper.drain(now())]);
      replica.stop();
    },
  };
  startedPairs.push(pair);
  return pair;
};
