import assert from "node:assert/strict";
import { test } from "node:test";
import { Fleet } from "../../testing/fleet.js";

const contactMs = 3000;
const maxLateArrivalCount = 3;

/** Sends sound and deadly requests to changing routers for some seconds. */
const playTraffic = (
  fleet: Fleet,
  durationMs: number,
  deadly: (index: number) => readonly string[] | undefined,
): { readonly sound: string[]; readonly deadly: string[] } => {
  const routers = [...fleet.states.keys()];
  const keys = { sound: [] as string[], deadly: [] as string[] };
  for (let index = 0; index * 200 < durationMs; index += 1) {
    const router = routers[index % routers.length] ?? "";
    keys.sound.push(fleet.request(router, [`customer-${String(index % 4)}`]));
    const blockIds = deadly(index);
    const other = routers[(index * 5 + 3) % routers.length] ?? "";
    if (blockIds !== undefined)
      keys.deadly.push(fleet.request(other, blockIds));
    fleet.advance(200);
  }
  fleet.advance(4000);
  return keys;
};

test("requests with a prompt block that ends engines keep reaching engines after its fifth crash", () => {
  const fleet = Fleet.create({ routerCount: 8, engineCount: 12 });
  fleet.deadlyBlocks.add("bad");
  const keys = playTraffic(fleet, 30_000, (index) =>
    index % 5 === 2 ? [`customer-${String(index % 4)}`, "bad"] : undefined,
  );
  const fifth = fleet.crashTimes[4] ?? Infinity;
  assert.ok(
    fleet.arrivalsAfter(fifth + contactMs, "bad") <= maxLateArrivalCount,
    `${String(fleet.crashTimes.length)} engines ended`,
  );
  assert.ok(
    keys.sound.every((key) => fleet.endings.get(key) === "whole"),
    "a sound request was not answered",
  );
});
