/** Test harness: one relay, a store that holds orders of roll-outs and phases, and replicas of several versions. */

import {
  RolloutPhase,
  type RolloutOrder,
  type RolloutWrite,
  type StoredRollout,
} from "../decisions/rollout/types.js";
import type { Replica } from "../types.js";
import {
  engines,
  idempotentPath,
  plainService,
  Scenario,
  streamPath,
  testReplica,
} from "./scenario.js";

const tickMs = 25;

const replicasOfVersion = (
  service: string,
  softwareVersion: string,
): Replica[] =>
  ["a", "b", "c"].map((zone) =>
    testReplica(`${zone}-${softwareVersion.slice(1)}`, service, {
      softwareVersion,
      slots: 24,
    }),
  );

/** Answers an attempt at a replica of a version. */
export type Responder = (
  scenario: Scenario,
  key: string,
  version: string,
) => void;

/** Answers whole, with a status by version. */
export const answerWith =
  (statusOf: (version: string) => number): Responder =>
  (scenario, key, version) => {
    scenario.answer(key, { status: statusOf(version) });
  };

/** A store's content that can be restored later. */
interface StoreCopy {
  readonly orders: readonly RolloutOrder[];
  readonly stored: readonly StoredRollout[];
}

/** Plays orders for one service; every phase reaches the relay at once. */
export class OrderedScenario {
  readonly scenario: Scenario;
  private orders: readonly RolloutOrder[] = [];
  private stored: readonly StoredRollout[] = [];
  private revision = 10;
  private requestCount = 0;

  private constructor(
    private readonly service: string,
    versions: readonly string[],
  ) {
    const replicas = versions.flatMap((one) => replicasOfVersion(service, one));
    this.scenario = Scenario.create(replicas);
  }

  /** Creates a relay that knows replicas of some versions of the plain service. */
  static create(...versions: readonly string[]): OrderedScenario {
    return new OrderedScenario(plainService, versions);
  }

  /** The same with engines. */
  static createEngines(...versions: readonly string[]): OrderedScenario {
    return new OrderedScenario(engines, versions);
  }

  /** Writes an order, in place of the one before, and reads it. */
  order(version: string, durationMs = 12_000): void {
    this.revision += 1;
    const { revision, service } = this;
    const id = `${String(revision)}-${version}`;
    this.orders = [{ service, version, durationMs, id, revision }];
    this.read();
  }

  /** Takes the order out of the store. */
  withdraw(): void {
    this.orders = [];
    this.read();
  }

  copy(): StoreCopy {
    const { orders, stored } = this;
    return { orders, stored };
  }

  /** The store comes back from a copy. */
  restore({ orders, stored }: StoreCopy): void {
    this.orders = orders;
    this.stored = stored;
    const { scenario } = this;
    scenario.dispatch({
      type: "storeRestored",
      at: scenario.at,
      ...{ fromEra: 1, toEra: 2, source: "store" },
      ...{ missingKeys: [], changedKeys: [] },
    });
    this.read();
  }

  /** Another router writes the same phase again, and the watch does not show it. */
  touch(): void {
    this.revision += 1;
    const { revision } = this;
    this.stored = this.stored.map((one) => ({ ...one, revision }));
  }

  /** Phase in the store, if it is of the order there or the one before. */
  get phase(): RolloutPhase | undefined {
    return this.stored[0]?.phase;
  }

  /** Version whose phase is in the store. */
  get version(): string | undefined {
    return this.stored[0]?.version;
  }

  /** Advances the clock with a request in each tick, and returns how many attempts each version got. */
  play(
    ms: number,
    respond = answerWith(() => 200),
  ): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    const { scenario } = this;
    for (const until = scenario.at + ms; scenario.at < until;) {
      const { at } = scenario;
      scenario.dispatch({ type: "storeAnswered", at, detail: "" });
      this.requestCount += 1;
      const path = this.service === engines ? streamPath : idempotentPath;
      scenario.request(`k${String(this.requestCount)}`, path);
      for (const command of scenario.advance(tickMs))
        if (command.type === "writeRollout") this.write(command.write);
      this.respondToAll(respond, counts);
    }
    return counts;
  }

  private respondToAll(respond: Responder, counts: Map<string, number>): void {
    for (const [key, exchange] of this.scenario.state.exchanges)
      while (exchange.attempt !== undefined) {
        const { softwareVersion } = exchange.attempt.replica;
        counts.set(softwareVersion, (counts.get(softwareVersion) ?? 0) + 1);
        respond(this.scenario, key, softwareVersion);
      }
  }

  private read(): void {
    const { orders, stored, scenario } = this;
    scenario.dispatch({
      type: "rolloutsRead",
      at: scenario.at,
      orders,
      stored,
    });
  }

  private write(write: RolloutWrite): void {
    const [current] = this.stored;
    const [order] = this.orders;
    const { at } = this.scenario;
    const isOrderSame = (order?.revision ?? 0) === write.orderRevision;
    if (!isOrderSame || (current?.revision ?? 0) !== write.replaces) {
      const refusal = { write, stored: current, isOrderSame };
      this.scenario.dispatch({ type: "rolloutRefused", at, ...refusal });
      return;
    }
    this.revision += 1;
    const { revision } = this;
    this.stored = [{ ...write, revision }];
    this.scenario.dispatch({ type: "rolloutWritten", at, write, revision });
  }
}
