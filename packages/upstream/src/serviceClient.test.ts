import assert from "node:assert/strict";
import { test } from "node:test";
import { buildConnector, request } from "undici";
import { now } from "@cardamomglade/common";
import { CallMethod } from "@cardamomglade/schema";
import { startService, type CloseStage } from "@cardamomglade/stand-ins";
import { ServiceClient } from "./serviceClient.js";
import type { ServiceOutcome } from "./types.js";

interface Ledger {
  readonly runs: readonly { readonly requestId: string }[];
  readonly arrivals: readonly string[];
}

const callCountPerStage = 24;
const timeoutMs = 5000;

const stages: readonly CloseStage[] = [
  "beforeRun",
  "beforeHeaders",
  "midBody",
  "afterAnswer",
  "keepAlive",
];

const count = (ids: readonly string[], id: string): number =>
  ids.filter((one) => one === id).length;

for (const stage of stages) {
  for (const method of [CallMethod.Post, CallMethod.Put, CallMethod.Get]) {
    test(`a ${method} call whose connection is closed at stage "${stage}" arrives at most once and is not retried`, async () => {
      const service = await startService(0);
      const client = ServiceClient.create(buildConnector({}));
      const outcomes = new Map<string, ServiceOutcome>();
      const call = async (requestId: string) => {
        const outcome = await client.call(service.url, {
          requestId,
          method,
          path: "/book",
          contentType: "text/plain",
          body: "b",
          deadline: now() + timeoutMs,
        });
        outcomes.set(requestId, outcome);
      };
      await Promise.all(["w1", "w2", "w3", "w4"].map(call));
      for (let index = 0; index < callCountPerStage; index += 4) {
        service.faults.add({ type: "close", stage, count: 2 });
        const ids = [0, 1, 2, 3].map((one) => `q${String(index + one)}`);
        await Promise.all(ids.map(call));
      }
      const read = await request(`${service.url}/ledger`);
      const ledger = (await read.body.json()) as Ledger;
      const ran = ledger.runs.map(({ requestId }) => requestId);
      for (const [id, outcome] of outcomes) {
        assert.ok(count(ledger.arrivals, id) <= 1, `${id} was retried`);
        if (outcome.type === "answered") assert.equal(count(ran, id), 1, id);
        if (outcome.type === "notSent")
          assert.equal(count(ledger.arrivals, id), 0, id);
      }
      const types = [...outcomes.values()].map(({ type }) => type);
      if (stage === "keepAlive")
        // No connection is kept, so this fault may reach no call.
        assert.ok(types.every((type) => type === "answered"));
      else
        assert.ok(
          stage === "afterAnswer" || types.includes("unknown"),
          "the injected fault had no effect",
        );
      await client.close();
      await service.close();
    });
  }
}
