import assert from "node:assert/strict";
import { test } from "node:test";
import type { Gossip } from "@cardamomglade/schema";
import { observeMessage, stampMessage } from "./messageClock.js";
import { createProcessClock } from "./processClock.js";

const gossip: Gossip = {
  type: "gossip",
  from: "a",
  at: "",
  revision: 0,
  members: [],
  demand: [],
};

test("what follows a message sorts after what came before it, also where wall clocks differ", () => {
  const ahead = createProcessClock("a", () => 1_764_800_000_900);
  const behind = createProcessClock("b", () => 1_764_800_000_000);
  const sent = stampMessage(ahead, gossip) as Gossip;
  assert.ok(behind.stamp() < sent.at);
  observeMessage(behind, sent);
  assert.ok(behind.stamp() > sent.at);
});
