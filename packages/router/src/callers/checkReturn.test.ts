import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { Ran } from "@cardamomglade/common";
import { applyConfig, createConfig } from "@cardamomglade/decisions";
import { ErrorType } from "../errors.js";
import {
  checkReturn,
  digestRequest,
  type ReturnOptions,
} from "./checkReturn.js";
import {
  createCursorHead,
  cursorKeyOf,
  emptyDigest,
  extendTokenDigest,
  formatCursor,
} from "./cursor.js";

const cursorKey = "cursor-key-of-the-test";
const prefixTokenIds = [7, 2, 3, 9];
const parsed = {
  model: "m",
  prompt: "p",
  maxTokens: 6,
  stop: [],
  isStreamed: true,
  prefixTokenIds,
};
const config = applyConfig(createConfig(), {
  revision: 1,
  intent: {
    customers: [],
    models: [],
    backEnds: [],
    deployments: [
      {
        name: "d",
        model: "m",
        version: "v1",
        backEnds: [],
        customers: ["stall"],
        recovery: { type: "latencyFirst", hedge: true },
      },
    ],
    services: [],
    leaving: [],
  },
});
const cursor = {
  requestId: "q",
  customer: "stall",
  deployment: "d",
  version: "v1",
  request: digestRequest(parsed),
  deadline: 60_000,
  attempt: 1,
  backEnd: "one",
  offset: prefixTokenIds.length,
  digest: extendTokenDigest(emptyDigest, prefixTokenIds),
};
const key = cursorKeyOf(cursorKey);
const head = createCursorHead(key, cursor);
const eventId = formatCursor(key, head, cursor.offset, cursor.digest);
const options: ReturnOptions = {
  cursorKey,
  eventId,
  customer: "stall",
  parsed,
  config,
  at: 1000,
  firstAttempt: 1000,
};

const refusal = (changed: Partial<ReturnOptions>) => {
  const checked = checkReturn({ ...options, ...changed });
  if (checked.type === "ok") assert.fail("the cursor was taken");
  return checked.error;
};

test("a cursor with its proved prefix is taken", () => {
  const checked = checkReturn(options);
  if (checked.type === "err") assert.fail(checked.error.message);
  assert.deepEqual(checked.value.point.prefix, prefixTokenIds);
});

test("a cursor changed in any character is refused (seed 4)", () => {
  const place = fc.nat({ max: eventId.length - 1 });
  fc.assert(
    fc.property(place, fc.constantFrom("A", "b", "7", "."), (at, character) => {
      fc.pre(eventId[at] !== character);
      const forged = eventId.slice(0, at) + character + eventId.slice(at + 1);
      const error = refusal({ eventId: forged });
      assert.ok(
        error.type === ErrorType.Forbidden ||
          error.type === ErrorType.Malformed,
      );
    }),
    { seed: 4, numRuns: 300 },
  );
});

test("digests of different token sequences differ (seed 4)", () => {
  const ids = fc.array(fc.nat(200_000), { maxLength: 20 });
  const digestOf = (of: readonly number[]) =>
    extendTokenDigest(emptyDigest, of);
  fc.assert(
    fc.property(ids, ids, (one, other) => {
      fc.pre(one.join() !== other.join());
      assert.notEqual(digestOf(one), digestOf(other));
    }),
    { seed: 4, numRuns: 2000 },
  );
  const split = extendTokenDigest(digestOf([5, 6]), [7]);
  assert.equal(split, digestOf([5, 6, 7]));
});

test("a cursor of another fleet or customer is forbidden", () => {
  const foreignKey = refusal({ cursorKey: "cursor-key-of-another" });
  assert.equal(foreignKey.type, ErrorType.Forbidden);
  const foreignCustomer = refusal({ customer: "office" });
  assert.equal(foreignCustomer.type, ErrorType.Forbidden);
});

test("a stale cursor, another request and a wrong prefix are refused, and told to have run", () => {
  const changes: Partial<ReturnOptions>[] = [
    { at: 60_001 },
    { config: createConfig() },
    { parsed: { ...parsed, prompt: "other" } },
    { parsed: { ...parsed, prefixTokenIds: [7, 2, 3] } },
    { parsed: { ...parsed, prefixTokenIds: [7, 2, 9, 3] } },
  ];
  for (const change of changes) {
    const error = refusal(change);
    assert.deepEqual([error.type, error.ran], [ErrorType.Malformed, Ran.Yes]);
  }
});
