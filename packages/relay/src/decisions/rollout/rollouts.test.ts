import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import {
  RolloutFleet,
  RolloutTrouble,
  VersionKind,
  type RolloutPlan,
  type RolloutResult,
} from "../../testing/rolloutFleet.js";
import { defaultRolloutLimits } from "./constants.js";
import { RolloutPhase } from "./types.js";

const { exposureShare, exposureSlack, rollbackTimeoutMs } =
  defaultRolloutLimits;
const kinds = Object.values(VersionKind);
const troubles = Object.values(RolloutTrouble);

/** Plans over all kinds of versions and troubles. */
const plansOf = (routerCount: number, count: number): RolloutPlan[] =>
  Array.from({ length: count }, (_, index) => ({
    kind: kinds[index % kinds.length] ?? VersionKind.Good,
    trouble:
      troubles[Math.floor(index / kinds.length) % troubles.length] ??
      RolloutTrouble.None,
    routerCount,
    seed: 1000 * routerCount + index,
    requestsPerS: [80, 160, 40][Math.floor(index / 30) % 3] ?? 80,
    durationMs: [12_000, 20_000][Math.floor(index / 60) % 2] ?? 12_000,
  }));

interface Played {
  readonly plan: RolloutPlan;
  readonly result: RolloutResult;
}

const boundOf = ({ requests }: RolloutResult): number =>
  exposureShare * requests + exposureSlack;

const describePlayed = ({ plan, result }: Played): string =>
  JSON.stringify({ ...plan, ...result, bound: boundOf(result) });

/** Whether the allowance lets the fault show: a version that never answers badly is as a good one. */
const canShow = ({ bad }: RolloutResult): boolean => bad >= 8;

const report = (
  t: TestContext,
  routerCount: number,
  played: readonly Played[],
): void => {
  const ofKind = (kind: VersionKind) =>
    played.filter(({ plan }) => plan.kind === kind);
  for (const kind of kinds) {
    const these = ofKind(kind);
    if (these.length === 0) continue;
    const most = Math.max(
      ...these.map(({ result }) => result.exposed / boundOf(result)),
    );
    const count = (phase: RolloutPhase) =>
      these.filter(({ result }) => result.phase === phase).length;
    const last = Math.max(
      0,
      ...these.map(({ result }) => result.lastAfter50Ms ?? 0),
    );
    t.diagnostic(
      `${String(routerCount)} routers, ${kind}: ${String(these.length)} played, ` +
        `${String(count(RolloutPhase.Completed))} completed, ` +
        `${String(count(RolloutPhase.RolledBack))} rolled back, ` +
        `exposure at most ${most.toFixed(2)} of the bound, ` +
        `last request ${String(Math.round(last))} ms after the 50th bad answer`,
    );
  }
};

const check = (t: TestContext, routerCount: number, count: number): void => {
  const played = plansOf(routerCount, count).map((plan) => ({
    plan,
    result: RolloutFleet.run(plan),
  }));
  report(t, routerCount, played);
  const isBad = ({ plan }: Played) => plan.kind !== VersionKind.Good;
  const bad = played.filter(isBad);
  const good = played.filter((one) => !isBad(one));
  const failed = (
    from: readonly Played[],
    isRight: (one: Played) => boolean,
  ): string[] => from.filter((one) => !isRight(one)).map(describePlayed);
  const over = failed(bad, ({ result }) => result.exposed <= boundOf(result));
  assert.deepEqual(over, [], "a bad version gets more than the allowance");
  const late = failed(
    bad,
    ({ result }) => (result.lastAfter50Ms ?? 0) <= rollbackTimeoutMs,
  );
  assert.deepEqual(late, [], "a bad version gets requests too late");
  const changed = failed(played, ({ result }) => !result.hasChangedItsEnd);
  assert.deepEqual(changed, [], "a final phase was changed");
  const missed = failed(
    good,
    ({ plan, result }) =>
      result.phase === RolloutPhase.Completed &&
      result.settledAfterMs <= plan.durationMs,
  );
  assert.ok(missed.length <= 0.01 * good.length, missed.join("\n"));
  const shown = bad.filter(({ result }) => canShow(result));
  const unseen = failed(
    shown,
    ({ result }) => result.phase === RolloutPhase.RolledBack,
  );
  assert.ok(unseen.length <= 0.01 * shown.length, unseen.join("\n"));
};

// Load: two versions beside each other, with routers killed, cut and late.
test("roll-outs over 7 routers keep the allowance and end right", (t) => {
  check(t, 7, 150);
});

test("roll-outs over 65 routers keep the allowance and end right", (t) => {
  check(t, 65, 60);
});

/** Roll-outs whose order comes while the watches of all routers rest after another change. */
const playRested = (
  kind: VersionKind,
  ratios: { readonly rested: number; readonly unread: number },
): Played[] =>
  [20_000, 12_000].flatMap((durationMs) =>
    [40, 80, 160].flatMap((requestsPerS) =>
      Array.from({ length: 5 }, (_, seed) => {
        const plan = {
          kind,
          trouble: RolloutTrouble.None,
          routerCount: 3,
          seed,
          requestsPerS,
          durationMs,
          orderReadAfterMs: ratios.unread * durationMs,
          restedMs: ratios.rested * durationMs,
        };
        return { plan, result: RolloutFleet.run(plan) };
      }),
    ),
  );

// Load: changes just before the order.
test("a good version is completed in time although no router reads the order at once", (t) => {
  const played = playRested(VersionKind.Good, { rested: 0.05, unread: 0.04 });
  const late = played
    .filter(
      ({ plan, result }) =>
        result.phase !== RolloutPhase.Completed ||
        result.settledAfterMs > plan.durationMs,
    )
    .map(describePlayed);
  const leftMs = played.map(({ plan, result }) =>
    Math.round(plan.durationMs - result.settledAfterMs),
  );
  t.diagnostic(`completed ${leftMs.join(", ")} ms before the deadline`);
  assert.deepEqual(late, []);
});

test("an order that was read at once, which no router can know, keeps the allowance", (t) => {
  const ratios = { rested: 0.05, unread: 0 };
  const played = [VersionKind.BadUnderLoad, VersionKind.BadLater].flatMap(
    (kind) => playRested(kind, ratios),
  );
  report(t, 3, played);
  const over = played.filter(({ result }) => result.exposed > boundOf(result));
  assert.deepEqual(over.map(describePlayed), []);
});
