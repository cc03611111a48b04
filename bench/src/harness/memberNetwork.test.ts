import assert from "node:assert/strict";
import { test } from "node:test";
import { decideMembership, countActiveMembers } from "@cardamomglade/decisions";
import { MemberStatus } from "@cardamomglade/schema";
import { MemberNetwork, memberName } from "./memberNetwork.js";

const create = (members: number, seed: number, loss = 0) =>
  MemberNetwork.create({ members, zones: 5, seed, loss });

const falseDeaths = (network: MemberNetwork) =>
  network.changes.filter(
    ({ router, status }) =>
      status === MemberStatus.Dead &&
      network.nodes.get(router)?.isAlive === true,
  );

for (const seed of [1, 2, 3])
  test(`members that know two seed members discover all others, seed ${String(seed)}`, () => {
    const network = create(24, seed);
    network.run(12_000);
    assert.equal(network.isConverged(), true);
    assert.deepEqual(falseDeaths(network), []);
  });

test("all members see a killed member as dead, and no other", () => {
  const network = create(12, 4);
  network.run(8000);
  network.kill(memberName(5));
  network.run(10_000);
  assert.equal(network.isConverged(), true);
  assert.deepEqual(falseDeaths(network), []);
});

test("a member refutes its suspicion after a short freeze; after a long one it rejoins with a higher incarnation", () => {
  const network = create(8, 5);
  network.run(8000);
  network.freeze(memberName(3), 1500);
  network.run(6000);
  assert.equal(network.isConverged(), true);
  assert.deepEqual(falseDeaths(network), []);
  const before = network.nodes.get(memberName(3))?.state.self.incarnation ?? 0;
  network.freeze(memberName(3), 15_000);
  network.run(14_000);
  assert.equal(
    network.statusSeenBy(memberName(0), memberName(3)),
    MemberStatus.Dead,
  );
  network.run(8000);
  assert.equal(network.isConverged(), true);
  const after = network.nodes.get(memberName(3))?.state.self.incarnation ?? 0;
  assert.ok(after > before);
});

test("a frozen member does not declare the others dead when it resumes", () => {
  const network = create(6, 6);
  network.run(8000);
  network.changes.length = 0;
  network.freeze(memberName(2), 30_000);
  network.run(40_000);
  const wrong = network.changes.filter(
    ({ by, status }) => by === memberName(2) && status === MemberStatus.Dead,
  );
  assert.deepEqual(wrong, []);
});

test("both halves of a partition keep running and merge after it", () => {
  const network = create(10, 7);
  network.run(8000);
  const isInFirstHalf = (name: string) => Number(name.slice(1)) < 5;
  network.partition((a, b) => isInFirstHalf(a) !== isInFirstHalf(b));
  network.run(20_000);
  for (const node of network.nodes.values())
    assert.equal(countActiveMembers(node.state), 5);
  network.partition(() => false);
  network.run(25_000);
  assert.equal(network.isConverged(), true);
});

test("losing a tenth of the messages causes no false deaths", () => {
  const network = create(16, 8, 0.1);
  network.run(40_000);
  assert.deepEqual(falseDeaths(network), []);
  assert.equal(network.isConverged(), true);
});

test("a leaving member is marked as left at once and does not come back", () => {
  const network = create(8, 9);
  network.run(8000);
  const leavingMember = network.nodes.get(memberName(4));
  assert.ok(leavingMember !== undefined);
  const { commands } = decideMembership(leavingMember.state, {
    type: "leaving",
    at: network.now,
  });
  assert.equal(commands.length, leavingMember.state.links.size);
  network.run(5000);
  for (const { name } of network.nodes.values())
    if (name !== memberName(4))
      assert.equal(
        network.statusSeenBy(name, memberName(4)),
        MemberStatus.Left,
      );
});
