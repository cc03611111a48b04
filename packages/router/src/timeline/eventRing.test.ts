import assert from "node:assert/strict";
import { test } from "node:test";
import { TimelineTopic, type TimelineEvent } from "@cardamomglade/schema";
import { EventRing } from "./eventRing.js";

const event = (number: number): TimelineEvent => ({
  at: `000000000000${String(number)}-000000-r`,
  process: "r",
  topic: TimelineTopic.Request,
  name: "arrived",
  request: number % 2 === 0 ? "even" : "odd",
});

test("the ring keeps the newest events in order and returns the timestamp of the newest dropped one", () => {
  const ring = EventRing.create(3);
  for (const number of [1, 2, 3, 4, 5]) ring.add(event(number));
  assert.deepEqual(
    ring.read({}).map(({ at }) => at),
    [3, 4, 5].map((number) => event(number).at),
  );
  assert.equal(ring.droppedUpTo(), event(2).at);
  assert.deepEqual(ring.read({ request: "odd", since: event(3).at }), [
    event(5),
  ]);
});
