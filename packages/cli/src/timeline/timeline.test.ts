import assert from "node:assert/strict";
import { test } from "node:test";
import { TimelineTopic, type TimelineEvent } from "@cardamomglade/schema";
import { formatGap } from "./formatTimeline.js";
import { mergeTimelines } from "./mergeTimelines.js";
import { parseTimeline } from "./readTimeline.js";
import { renderPage } from "./renderPage.js";
import { attemptSpansOf } from "./renderRequest.js";
import type { TimelineResponse } from "./types.js";

const startMs = 1_764_800_000_000;

const event = (
  offsetMs: number,
  process: string,
  rest: Partial<TimelineEvent>,
): TimelineEvent => ({
  at: `${String(startMs + offsetMs)}-000000-${process}`,
  process,
  topic: TimelineTopic.Attempt,
  name: "opened",
  ...rest,
});

const requestEvents = [
  event(0, "r1", {
    topic: TimelineTopic.Request,
    name: "arrived",
    request: "q",
  }),
  event(1, "r1", { request: "q", attempt: 0, backEnd: "one", offset: 0 }),
  event(50, "r1", { request: "q", attempt: 0, name: "cancelled" }),
  event(51, "r1", {
    request: "q",
    attempt: 1,
    backEnd: "two",
    offset: 7,
    name: "resumed",
  }),
  event(90, "r1", {
    topic: TimelineTopic.Request,
    name: "finished",
    request: "q",
    offset: 20,
  }),
];

const responses: TimelineResponse[] = [
  {
    type: "read",
    url: "u1",
    process: "r1",
    peers: ["r2", "r3", "r4"],
    events: requestEvents,
  },
  {
    type: "read",
    url: "u2",
    process: "r2",
    peers: ["r1"],
    droppedUpTo: `${String(startMs - 5)}-000000-r2`,
    events: [
      event(20, "r2", {
        topic: TimelineTopic.Member,
        name: "suspected",
        detail: "</script><b>",
      }),
    ],
  },
  { type: "unreachable", url: "u3", message: "connect ECONNREFUSED" },
];

test("events of all processes are merged in causal order and unqueried peers are reported as gaps", () => {
  const merged = mergeTimelines(responses);
  const order = merged.events.map(({ at }) => at);
  assert.deepEqual(order, [...order].sort());
  assert.deepEqual(
    merged.events.map(({ process }) => process),
    ["r1", "r1", "r2", "r1", "r1", "r1"],
  );
  assert.deepEqual(
    merged.gaps.map(({ type }) => type),
    ["dropped", "unreachable", "notQueried", "notQueried"],
  );
  assert.ok(
    merged.gaps.map(formatGap).every((line) => !line.includes("undefined")),
  );
});

test("a cancelled attempt and the attempt that resumes it get a span each", () => {
  assert.deepEqual(
    attemptSpansOf(requestEvents).map(({ backEnd, offset, isLost }) => ({
      backEnd,
      offset,
      isLost,
    })),
    [
      { backEnd: "one", offset: 0, isLost: true },
      { backEnd: "two", offset: 7, isLost: false },
    ],
  );
});

test("the page loads no external resources and escapes event texts", () => {
  const page = renderPage(mergeTimelines(responses), "q");
  assert.doesNotMatch(page, /(src|href)=|@import|url\(/);
  assert.doesNotMatch(page, /<b>/);
  assert.equal(page.match(/class="attempt"/g)?.length, 2);
  assert.equal(page.match(/<svg [^>]*aria-label/g)?.length, 2);
  assert.equal(page.match(/<circle class="event"/g)?.length, 6);
});

test("a response body that is not a timeline is reported as unreachable", () => {
  const bodies: unknown[] = [
    null,
    [],
    "x",
    { process: 1 },
    { process: "r", events: [{}] },
  ];
  for (const body of bodies)
    assert.equal(parseTimeline("u", body).type, "unreachable");
});
