import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { Priority } from "@cardamomglade/schema";
import {
  admit,
  createAdmission,
  endRequest,
  removeFromQueue,
  Refusal,
  refuseExpired,
  startNext,
  type AdmissionRequest,
  type Capacity,
} from "./index.js";

let serial = 0;

const request = (
  customer: string,
  options: Partial<AdmissionRequest> = {},
): AdmissionRequest => {
  serial += 1;
  return {
    requestId: `q${String(serial)}`,
    customer,
    deployment: "d",
    priority: Priority.Standard,
    weight: 1,
    tokens: 100,
    sizeChars: 10,
    deadline: 1e9,
    ...options,
  };
};

const freeCapacity: Capacity = {
  isWithinLimits: () => true,
  hasFreeSlot: () => true,
  startsPerSecond: () => 100,
};
const fullCapacity: Capacity = { ...freeCapacity, hasFreeSlot: () => false };

const startedCustomers = (
  state: ReturnType<typeof createAdmission>,
  count: number,
): string[] =>
  Array.from(
    { length: count },
    () => startNext(state, freeCapacity)?.customer ?? "",
  );

test("a burst of one customer does not delay a customer with little load", () => {
  const state = createAdmission();
  for (let index = 0; index < 50; index += 1)
    admit(state, request("large"), fullCapacity, 0);
  admit(state, request("small"), fullCapacity, 0);
  assert.ok(startedCustomers(state, 3).includes("small"));
});

test("requests start in proportion to the weights of the queued customers", () => {
  const state = createAdmission();
  for (let index = 0; index < 40; index += 1) {
    admit(state, request("one"), fullCapacity, 0);
    admit(state, request("three", { weight: 3 }), fullCapacity, 0);
  }
  const started = startedCustomers(state, 40);
  const three = started.filter((customer) => customer === "three").length;
  assert.ok(three >= 28 && three <= 32, String(three));
});

test("interactive requests start before batch requests, which still get their share", () => {
  const state = createAdmission();
  for (let index = 0; index < 60; index += 1) {
    admit(
      state,
      request("batch", { priority: Priority.Batch }),
      fullCapacity,
      0,
    );
    admit(
      state,
      request("owner", { priority: Priority.Interactive }),
      fullCapacity,
      0,
    );
  }
  const started = startedCustomers(state, 51);
  const batch = started.filter((customer) => customer === "batch").length;
  assert.ok(batch >= 2 && batch <= 5, String(batch));
});

test("a request that cannot start in time is refused at once with a Retry-After time", () => {
  const state = createAdmission();
  const slow: Capacity = { ...fullCapacity, startsPerSecond: () => 0.5 };
  assert.deepEqual(admit(state, request("a"), slow, 0), {
    type: "refuse",
    refusal: Refusal.Capacity,
    retryAfterS: 2,
  });
  const limited: Capacity = { ...slow, isWithinLimits: () => false };
  const verdict = admit(state, request("a"), limited, 0);
  assert.equal(verdict.type === "refuse" && verdict.refusal, Refusal.Limit);
  const soon = { ...fullCapacity, startsPerSecond: () => 10 };
  const hasNoTime = request("a", { deadline: 50 });
  assert.equal(admit(state, hasNoTime, soon, 0).type, "refuse");
  assert.equal(admit(state, request("a"), soon, 0).type, "wait");
});

test("a request queued for too long is refused, and one whose caller disconnected is removed", () => {
  const state = createAdmission();
  const late = request("a");
  const left = request("a");
  admit(state, late, fullCapacity, 0);
  admit(state, left, fullCapacity, 0);
  assert.equal(removeFromQueue(state, left.requestId), true);
  assert.equal(removeFromQueue(state, left.requestId), false);
  assert.deepEqual(refuseExpired(state, fullCapacity, 599), []);
  const refused = refuseExpired(state, fullCapacity, 600);
  assert.deepEqual(
    refused.map(({ requestId }) => requestId),
    [late.requestId],
  );
  assert.equal(state.waiting, 0);
  assert.equal(state.queues.size, 0);
});

test("a customer at its limit does not block other customers", () => {
  const state = createAdmission();
  const onlyB: Capacity = {
    ...freeCapacity,
    isWithinLimits: (name) => name === "b",
  };
  assert.equal(admit(state, request("a"), onlyB, 0).type, "wait");
  assert.equal(admit(state, request("b"), onlyB, 0).type, "start");
});

test("the queue is bounded in number of requests and in total size", () => {
  const state = createAdmission();
  const quick: Capacity = { ...fullCapacity, startsPerSecond: () => 1e6 };
  const huge = request("a", { sizeChars: 17 * 1024 * 1024 });
  const verdict = admit(state, huge, quick, 0);
  assert.equal(verdict.type === "refuse" && verdict.refusal, Refusal.QueueFull);
  for (let index = 0; index < 3000; index += 1)
    admit(state, request("a"), quick, 0);
  assert.equal(state.waiting, 2000);
});

test("every request is started, refused or removed exactly once, or is still queued", () => {
  const customers = fc.constantFrom("a", "b", "c");
  const step = fc.oneof(
    fc.record({
      type: fc.constant("arrive" as const),
      customer: customers,
      hasRoom: fc.boolean(),
    }),
    fc.record({ type: fc.constant("free" as const) }),
    fc.record({ type: fc.constant("wait" as const), ms: fc.nat(900) }),
    fc.record({ type: fc.constant("leave" as const), index: fc.nat(30) }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const state = createAdmission();
      const asked: string[] = [];
      const ended = new Map<string, number>();
      const end = (id: string) => ended.set(id, (ended.get(id) ?? 0) + 1);
      let at = 0;
      for (const one of steps) {
        if (one.type === "wait") at += one.ms;
        if (one.type === "arrive") {
          const arrived = request(one.customer);
          asked.push(arrived.requestId);
          const capacity = one.hasRoom ? freeCapacity : fullCapacity;
          if (admit(state, arrived, capacity, at).type !== "wait")
            end(arrived.requestId);
        }
        if (one.type === "free") {
          const started = startNext(state, freeCapacity);
          if (started !== undefined) end(started.requestId);
        }
        if (one.type === "leave") {
          const id = asked[one.index] ?? "";
          if (removeFromQueue(state, id)) end(id);
          endRequest(state, id);
        }
        for (const { requestId } of refuseExpired(state, fullCapacity, at))
          end(requestId);
      }
      const waiting = [...state.queues.values()].flatMap(
        ({ requests }) => requests,
      );
      assert.equal(waiting.length, state.waiting);
      assert.equal(ended.size + waiting.length, asked.length);
      assert.ok([...ended.values()].every((count) => count === 1));
    }),
    { seed: 5, numRuns: 400 },
  );
});
