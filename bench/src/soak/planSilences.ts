/**
 * Plans replicas and streams that fall silent for about a second and go on: beside the
 * other faults, and then in series of their own, each beside a change of the configuration.
 */

import { SeededRandom } from "../faults/seededRandom.js";
import type { PlannedSoakFault, SoakAction } from "./types.js";

/** What the plan of the silences depends on. */
export interface SilenceOptions {
  readonly seed: number;
  readonly rounds: number;
  readonly engines: number;
  readonly replicas: number;
  /** Start of the rounds of other faults. */
  readonly firstMs: number;
  /** Time from which silences and changes of the configuration are the only faults. */
  readonly seriesFromMs: number;
}

const seedOffset = 1_000_003; // the faults that are drawn from the seed itself stay as they were
const roundMs = 2500;
const silencesPerRound = 2;
const seriesIntervalMs = 1500; // longer than a silence, so that none of a replica joins its next one
const maxSilentReplicaCount = 6; // up to all engines
const silentStreamCount = 3;
const minSilenceMs = 300;
const maxSilenceMs = 1300;

/** Silences of replicas and streams that overlap, beside a change of the configuration. */
const planSeries = (
  random: SeededRandom,
  startMs: number,
  actions: readonly SoakAction[],
): PlannedSoakFault[] =>
  actions.map((action) => ({
    startMs: startMs + random.nextInteger(seriesIntervalMs),
    durationMs: minSilenceMs + random.nextInteger(maxSilenceMs - minSilenceMs),
    action,
  }));

/** Returns the silences of a seed. */
export const planSilences = ({
  seed,
  rounds,
  engines,
  replicas,
  firstMs,
  seriesFromMs,
}: SilenceOptions): PlannedSoakFault[] => {
  const random = SeededRandom.create(seed + seedOffset);
  const silentStream = (): SoakAction => ({
    type: "streamSilent",
    replica: random.nextInteger(engines),
  });
  const faults: PlannedSoakFault[] = [];
  for (let round = 0; round < rounds; round += 1)
    for (let index = 0; index < silencesPerRound; index += 1) {
      const silentReplica: SoakAction = {
        type: "replicaSilent",
        replica: random.nextInteger(replicas),
      };
      faults.push(
        ...planSeries(random, firstMs + round * roundMs, [
          silentReplica,
          silentStream(),
        ]),
      );
    }
  let next = random.nextInteger(replicas);
  for (let series = 0; series < rounds; series += 1) {
    const count = 1 + random.nextInteger(maxSilentReplicaCount);
    const from = next;
    next += count;
    const startMs = seriesFromMs + series * seriesIntervalMs;
    faults.push(
      ...planSeries(random, startMs, [
        ...Array.from({ length: count }, (_, index): SoakAction => ({
          type: "replicaSilent",
          replica: (from + index) % replicas,
        })),
        ...Array.from({ length: silentStreamCount }, silentStream),
        { type: "configChange" },
      ]),
    );
  }
  return faults;
};
