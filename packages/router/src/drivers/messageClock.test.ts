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

test("timestamps after receiving a message are greater than the sender's, even if the receiver's wall clock is behind", () => {
  const ahead = createProcessClock("a", () => 1_764_800_000_900);
  const behind = createProcessClock("b", () => 1_764_800_000_000);
  const sent = stampMessage(ahead, gossip) as Gossip;
  assert.ok(behind.stamp() < sent.at);
  observeMessage(behind, sent);
  assert.ok(behind.stamp() > sent.at);
});
