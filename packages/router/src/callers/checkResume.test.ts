import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { RequestExecuted } from "@cardamomglade/common";
import { applyConfig, createActiveConfig } from "@cardamomglade/decisions";
import { ErrorType } from "../errors.js";
import {
  checkResume,
  digestRequest,
  type ResumeOptions,
} from "./checkResume.js";
import {
  createCursorHead,
  cursorKeyOf,
  emptyTokenDigest,
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
const config = applyConfig(createActiveConfig(), {
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
  digest: extendTokenDigest(emptyTokenDigest, prefixTokenIds),
};
const key = cursorKeyOf(cursorKey);
const head = createCursorHead(key, cursor);
const eventId = formatCursor(key, head, cursor.offset, cursor.digest);
const options: ResumeOptions = {
  cursorKey,
  eventId,
  customer: "stall",
  parsed,
  config,
  at: 1000,
  firstAttempt: 1000,
};

const refusalOf = (overrides: Partial<ResumeOptions>) => {
  const result = checkResume({ ...options, ...overrides });
  if (result.type === "ok") assert.fail("the cursor was accepted");
  return result.error;
};

test("a cursor with a matching prefix is accepted", () => {
  const checked = checkResume(options);
  if (checked.type === "err") assert.fail(checked.error.message);
  assert.deepEqual(checked.value.point.prefix, prefixTokenIds);
});

test("a cursor with any character changed is rejected (seed 4)", () => {
  const position = fc.nat({ max: eventId.length - 1 });
  fc.assert(
    fc.property(
      position,
      fc.constantFrom("A", "b", "7", "."),
      (at, character) => {
        fc.pre(eventId[at] !== character);
        const forged = eventId.slice(0, at) + character + eventId.slice(at + 1);
        const error = refusalOf({ eventId: forged });
        assert.ok(
          error.type === ErrorType.Forbidden ||
            error.type === ErrorType.Malformed,
        );
      },
    ),
    { seed: 4, numRuns: 300 },
  );
});

test("digests of different token sequences differ (seed 4)", () => {
  const ids = fc.array(fc.nat(200_000), { maxLength: 20 });
  const digestOf = (of: readonly number[]) =>
    extendTokenDigest(emptyTokenDigest, of);
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

test("a cursor of another fleet or customer is rejected as forbidden", () => {
  const foreignKey = refusalOf({ cursorKey: "cursor-key-of-another" });
  assert.equal(foreignKey.type, ErrorType.Forbidden);
  const foreignCustomer = refusalOf({ customer: "office" });
  assert.equal(foreignCustomer.type, ErrorType.Forbidden);
});

test("a stale cursor, another request and a wrong prefix are rejected and reported as having run", () => {
  const changes: Partial<ResumeOptions>[] = [
    { at: 60_001 },
    { config: createActiveConfig() },
    { parsed: { ...parsed, prompt: "other" } },
    { parsed: { ...parsed, prefixTokenIds: [7, 2, 3] } },
    { parsed: { ...parsed, prefixTokenIds: [7, 2, 9, 3] } },
  ];
  for (const change of changes) {
    const error = refusalOf(change);
    assert.deepEqual(
      [error.type, error.ran],
      [ErrorType.Malformed, RequestExecuted.Yes],
    );
  }
});

test("a cursor of the version served stays valid while the next one is loaded", () => {
  const { intent } = config;
  const upgraded = intent.deployments.map((one) => ({ ...one, version: "v2" }));
  const next = applyConfig(config, {
    revision: 2,
    intent: { ...intent, deployments: upgraded },
    serving: intent.deployments,
  });
  assert.equal(checkResume({ ...options, config: next }).type, "ok");
});
