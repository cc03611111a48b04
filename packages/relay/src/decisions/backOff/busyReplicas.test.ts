/** Random busy times of replicas beside crashes, silences and cuts, over all kinds of requests. */

import assert from "node:assert/strict";
import { test } from "node:test";
import { nextRandom, seedRandom } from "@cardamomglade/common";
import { FirstTries } from "../../testing/firstTries.js";
import { Fleet, type Asked } from "../../testing/fleet.js";

const seeds = [1, 2, 3, 4];
const stepCount = 30;
const stepMs = 400;
const calmMs = 9000;

/** Plays a day of a fleet; returns it, and the callers' first tries. */
const play = (seed: number): { fleet: Fleet; tries: FirstTries } => {
  const fleet = Fleet.create({
    routerCount: 5,
    engineCount: 6,
    plainCount: 4,
    seed,
  });
  let generator = seedRandom(seed);
  const draw = (): number => {
    const drawn = nextRandom(generator);
    generator = drawn.state;
    return drawn.value;
  };
  const { engines, plainReplicas } = fleet.replicas;
  const all = [...engines, ...plainReplicas];
  const pick = <One>(some: readonly One[]): One => {
    const one = some[Math.floor(draw() * some.length)];
    if (one === undefined) throw new Error("nothing to pick from");
    return one;
  };
  const tries = FirstTries.create(fleet);
  const routers = [...fleet.states.keys()];
  const makeBusy = () => {
    const ms = 300 + draw() * 4000;
    const share = pick([0.2, 0.5, 1]);
    for (const { replica } of all)
      if (draw() < share)
        fleet.replicas.busyUntil.set(replica.id, fleet.at + ms);
  };
  const faults = [
    makeBusy,
    makeBusy,
    () => {
      fleet.crash([pick(all)]);
    },
    () => {
      fleet.replicas.silence([pick(all), pick(all)], 300 + draw() * 1000);
    },
    () => {
      fleet.cutPaths([pick(routers)], pick(["reset", "newOnly"]));
    },
    () => {
      fleet.healPaths(routers);
    },
  ];
  for (let step = 0; step < stepCount; step += 1) {
    pick(faults)();
    tries.run(stepMs);
  }
  fleet.healPaths(routers);
  fleet.advance(calmMs);
  tries.run(stepMs);
  fleet.advance(calmMs);
  return { fleet, tries };
};

/** What a router sent to a replica between its answer and the time that this named. */
const earlyAt = ({ asked, replicas }: Fleet): Asked[] =>
  replicas.turnedAway.flatMap(({ at, router, replica, until }) =>
    asked.filter(
      (one) =>
        one.router === router &&
        one.replica === replica &&
        one.at > at &&
        one.at < until,
    ),
  );

for (const seed of seeds)
  test(`a replica gets anything before the time that it named, in a random day (seed ${String(seed)})`, () => {
    const { fleet, tries } = play(seed);
    assert.ok(fleet.replicas.turnedAway.length > 20);
    assert.deepEqual(earlyAt(fleet), []);
    const last = tries.tries.filter(({ at }) => at > fleet.at - calmMs - 500);
    assert.ok(last.length > 0);
    for (const { key } of last)
      assert.equal(fleet.endings.get(key), "whole", key);
    for (const { exchanges } of fleet.states.values())
      assert.equal(exchanges.size, 0);
  });
