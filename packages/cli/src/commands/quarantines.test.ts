import assert from "node:assert/strict";
import { test } from "node:test";
import { StandInStore } from "@cardamomglade/users-platform/testing/standInStore";
import { quarantines, release } from "./quarantines.js";

const key = "00c0ffee00c0ffee";
const entryKey = `cardamomglade/quarantines/${key}`;

test("an operator can neither see nor release what is held back", async (t) => {
  const store = await StandInStore.create();
  store.put(entryKey, { blockIds: ["5c1e"], holdCount: 2, crashCount: 4 });
  const { host, port } = store.address;
  const flags = { store: `${host}:${String(port)}` };
  const printed: string[] = [];
  t.mock.method(console, "log", (text: string) => printed.push(text));
  t.mock.method(console, "error", (text: string) => printed.push(text));
  assert.equal(await quarantines(flags), 0);
  assert.equal(await release("unknown", flags), 1);
  assert.equal(await release(key, flags), 0);
  assert.equal(await quarantines(flags), 0);
  assert.equal(await quarantines({}), 2);
  store.stop();
  assert.deepEqual(printed.slice(0, 4), [
    `${key}  causes=5c1e holdCount=2 crashes=4`,
    'no quarantine "unknown"',
    `released ${key}`,
    "nothing is quarantined",
  ]);
});
