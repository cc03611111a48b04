import assert from "node:assert/strict";
import { test } from "node:test";
import { replayEvents } from "@cardamomglade/common";
import { AttemptFailure } from "@cardamomglade/decisions";
import {
  BackEndType,
  HostStatus,
  Priority,
  type BackEnd,
  type Intent,
} from "@cardamomglade/schema";
import { createRouterState, decide } from "../decide.js";
import type { RouterCommand, RouterEvent } from "../types.js";

const backEnd = (name: string, zone: string): BackEnd => ({
  name,
  type: BackEndType.Engine,
  url: `http://${name}`,
  host: `host-${name}`,
  zone,
  region: "r",
  checksFencing: true,
  slots: 8,
});

const intent: Intent = {
  customers: [],
  models: [],
  backEnds: [backEnd("one", "a"), backEnd("two", "b"), backEnd("three", "c")],
  deployments: [
    {
      name: "d",
      model: "m",
      version: "v1",
      backEnds: ["one", "two", "three"],
      customers: ["stall"],
      recovery: { type: "latencyFirst", hedge: true },
    },
  ],
  services: [],
  leaving: [],
};

const router = { name: "r1", host: "h", zone: "a", region: "r" };
const emptyBy = new Date(20_000).toISOString();

const configurationRead = (
  revision: number,
  leaving: string[],
): RouterEvent => ({
  type: "configurationRead",
  at: 1,
  accepted: {
    revision,
    intent: { ...intent, leaving: leaving.map((host) => ({ host, emptyBy })) },
  },
});

const hostListRead = (
  at: number,
  host: string,
  status: HostStatus,
): RouterEvent => ({
  type: "hostListRead",
  at,
  hosts: [{ host, status }],
});

const generationArrived = (requestId: string, at: number): RouterEvent => ({
  type: "generationArrived",
  at,
  request: {
    requestId,
    customer: "stall",
    priority: Priority.Standard,
    model: "m",
    prompt: "p",
    maxTokens: 5000,
    stop: [],
    deadline: 600_000,
  },
});

const urlsOf = (commands: readonly RouterCommand[]): string[] =>
  commands.flatMap((command) =>
    command.type === "openAttempt" ? [command.url] : [],
  );

const applyEvents = (events: readonly RouterEvent[]) =>
  replayEvents(decide, createRouterState(router), events);

test("a host marked as leaving by the list or the intent gets no new requests, and a live entry in the list does not override the intent", () => {
  const listed = applyEvents([
    configurationRead(1, []),
    hostListRead(2, "host-one", HostStatus.Leaving),
    generationArrived("q", 3),
  ]);
  assert.ok(!urlsOf(listed.commands).includes("http://one"));
  const wrong = applyEvents([
    configurationRead(1, ["host-one"]),
    hostListRead(2, "host-one", HostStatus.Live),
    hostListRead(100_000, "host-one", HostStatus.Live),
    generationArrived("q", 100_001),
  ]);
  assert.ok(!urlsOf(wrong.commands).includes("http://one"));
  const kept = applyEvents([
    hostListRead(2, "host-one", HostStatus.Leaving),
    configurationRead(1, []),
    generationArrived("q", 3),
  ]);
  assert.ok(!urlsOf(kept.commands).includes("http://one"));
});

test("a stream is migrated from a leaving host at a token boundary, and the migration is retried when the target zone is lost", () => {
  const token = (id: number) => ({ id, text: "t" });
  const tokens = (attempt: number, offset: number, at: number) => ({
    type: "tokensArrived" as const,
    at,
    requestId: "q",
    attempt,
    offset,
    tokens: [token(offset)],
  });
  const before = applyEvents([
    configurationRead(1, []),
    generationArrived("q", 2),
    tokens(0, 0, 10),
  ]);
  assert.deepEqual(urlsOf(before.commands), ["http://one"]);
  const moved = replayEvents(decide, before.state, [
    configurationRead(2, ["host-one"]),
    { type: "timerTicked", at: 300 },
  ]);
  const [target = ""] = urlsOf(moved.commands);
  assert.notEqual(target, "http://one");
  const lost = replayEvents(decide, moved.state, [
    {
      type: "attemptFailed",
      at: 310,
      requestId: "q",
      attempt: 1,
      failure: AttemptFailure.Connection,
    },
    ...Array.from({ length: 40 }, (_, index): RouterEvent[] => [
      tokens(0, 1 + index, 320 + 50 * index),
      { type: "timerTicked", at: 321 + 50 * index },
    ]).flat(),
  ]);
  const later = urlsOf(lost.commands);
  assert.ok(later.length > 0, "the migration is retried");
  assert.ok(!later.includes("http://one"));
  assert.ok(!lost.commands.some(({ type }) => type === "failAnswer"));
});

test("when the grace period ends, open streams fail with a typed error and their attempts are cancelled", () => {
  const ended = applyEvents([
    configurationRead(1, []),
    generationArrived("q", 2),
    { type: "drainAnnounced", at: 3 },
    generationArrived("during", 4),
    { type: "drainStarted", at: 5 },
    generationArrived("late", 6),
    { type: "graceEnded", at: 7 },
  ]);
  const errors = ended.commands.flatMap((command) =>
    command.type === "failAnswer"
      ? [[command.requestId, command.error.type, command.error.ran]]
      : [],
  );
  assert.deepEqual(errors, [
    ["late", "draining", "no"],
    ["q", "draining", "unknown"],
    ["during", "draining", "unknown"],
  ]);
  assert.equal(ended.state.streams.size, 0);
  const cancelled = ended.commands.filter(
    ({ type }) => type === "cancelAttempt",
  );
  assert.equal(cancelled.length, 2);
});
