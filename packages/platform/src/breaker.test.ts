import assert from "node:assert/strict";
import { test } from "node:test";
import { nextRandom, seedRandom } from "@cardamomglade/common";
import {
  admitCall,
  createBreaker,
  noteFailure,
  noteSuccess,
} from "./breaker.js";

const seed = 7;
const clients = 200;
const outageMs = 20_000;
const runMs = 24_000;
const stepMs = 10;

// Each client calls every step; the service answers again after the outage.
const callsAStep = (): number[] => {
  let generator = seedRandom(seed);
  const random = () => {
    const drawn = nextRandom(generator);
    generator = drawn.state;
    return drawn.value;
  };
  const breakers = Array.from({ length: clients }, createBreaker);
  const sent: number[] = [];
  for (let at = 0; at < runMs; at += stepMs) {
    let calls = 0;
    breakers.forEach((before, index) => {
      const { breaker, isAllowed } = admitCall(before, at, random());
      if (isAllowed) calls += 1;
      const note = at < outageMs ? noteFailure : noteSuccess;
      breakers[index] = isAllowed ? note(breaker, at, random()) : breaker;
    });
    sent.push(calls);
  }
  return sent;
};

const most = (sent: readonly number[]): number => Math.max(...sent);

test(`an outage's end starts no storm of retries, seed ${String(seed)}`, () => {
  const sent = callsAStep();
  const at = (fromMs: number, untilMs: number) =>
    sent.slice(fromMs / stepMs, untilMs / stepMs);
  assert.ok(most(at(5000, outageMs)) < clients / 10, "probes come together");
  assert.ok(most(at(outageMs, outageMs + 300)) < clients / 4, "no ramp");
  assert.equal(sent.at(-1), clients, "not every client came back");
});
