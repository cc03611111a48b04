import assert from "node:assert/strict";
import { test } from "node:test";
import { missingRouterRetentionMs } from "./constants.js";
import { KnownRouters } from "./knownRouters.js";

const named = (...names: string[]) => names.map((router) => ({ router }));

const namesOf = (entries: readonly { readonly router: string }[]) =>
  entries.map(({ router }) => router).sort();

// Load: the copy is older than the entries of most routers.
test("routers whose entries a restored store lacks still count until they can be back", () => {
  const routers = KnownRouters.create("own");
  const all = named("own", "b", "c", "d");
  assert.deepEqual(namesOf(routers.update(all, 1, 0)), ["b", "c", "d", "own"]);
  const restored = routers.update(named("b"), 2, 10);
  assert.deepEqual(namesOf(restored), ["b", "c", "d"]);
  const later = routers.update(named("b", "c", "own"), 2, 20);
  assert.deepEqual(namesOf(later), ["b", "c", "d", "own"]);
  const end = 10 + missingRouterRetentionMs;
  const ended = routers.update(named("b", "c", "own"), 2, end);
  assert.deepEqual(namesOf(ended), ["b", "c", "own"]);
});

test("a router whose entry ends within an era no longer counts", () => {
  const routers = KnownRouters.create("own");
  routers.update(named("own", "b"), 1, 0);
  assert.deepEqual(namesOf(routers.update(named("own"), 1, 5)), ["own"]);
});
