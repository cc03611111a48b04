import assert from "node:assert/strict";
import { test } from "node:test";
import { nextRandom, seedRandom } from "@cardamomglade/common";
import {
  admitCall,
  createBreaker,
  recordFailure,
  recordSuccess,
} from "./breaker.js";

const seed = 7;
const clients = 200;
const outageMs = 20_000;
const runMs = 24_000;
const stepMs = 10;

// Each client makes a call in every step; the service is down until the end of the outage.
const callsPerStep = (): number[] => {
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
      const record = at < outageMs ? recordFailure : recordSuccess;
      breakers[index] = isAllowed ? record(breaker, at, random()) : breaker;
    });
    sent.push(calls);
  }
  return sent;
};

const maxOf = (sent: readonly number[]): number => Math.max(...sent);

test(`the end of an outage causes no retry storm, seed ${String(seed)}`, () => {
  const sent = callsPerStep();
  const at = (fromMs: number, untilMs: number) =>
    sent.slice(fromMs / stepMs, untilMs / stepMs);
  assert.ok(
    maxOf(at(5000, outageMs)) < clients / 10,
    "probes are not spread out",
  );
  assert.ok(
    maxOf(at(outageMs, outageMs + 300)) < clients / 4,
    "calls were not ramped up",
  );
  assert.equal(
    sent.at(-1),
    clients,
    "not every client calls again after the outage",
  );
});
