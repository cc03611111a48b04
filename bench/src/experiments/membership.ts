/** Measures membership with 3 to 64 members: convergence, failure detection, bytes sent and processor time. */

import { readFile } from "node:fs/promises";
import { MemberStatus } from "@cardamomglade/schema";
import { request } from "undici";
import { Fleet, operatorToken } from "../harness/fleet.js";
import type { FleetRouter } from "../harness/fleetMembers.js";
import { memberName, MemberNetwork } from "../harness/memberNetwork.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const memberCounts = [3, 8, 16, 32, 64];
const settleMs = 20_000;
const steadyStateMs = 20_000;
const detectionWindowMs = 20_000;
const zoneCount = 5;
const customerCount = 10;
const maxBytesPerSecond = 7 * 1024;
const maxCoreShare = 0.017;
const clockTicksPerSecond = 100;

interface SizeMeasurement {
  readonly members: number;
  readonly convergedMs: number;
  readonly detectedP95Ms: number;
  readonly falseDeaths: number;
  readonly bytesPerSecond: number;
  readonly coreShare: number;
}

const heartbeat = {
  revision: 7,
  demand: Array.from({ length: customerCount }, (_, index) => ({
    customer: `customer-${String(index)}`,
    inFlight: index,
    waiting: 0,
    tokensPerSecond: index * 100,
  })),
};

const measureConvergenceMs = (network: MemberNetwork): number => {
  const startedAt = network.now;
  while (!network.isConverged() && network.now - startedAt < settleMs)
    network.run(250);
  return network.now - startedAt;
};

const sentBytesOf = (network: MemberNetwork): number =>
  [...network.nodes.values()].reduce((sum, { bytes }) => sum + bytes, 0);

const measureSteadyState = (network: MemberNetwork) => {
  const bytesBefore = sentBytesOf(network);
  const { user, system } = process.cpuUsage();
  network.run(steadyStateMs);
  const after = process.cpuUsage();
  const usedMs = (after.user - user + after.system - system) / 1000;
  const nodeMs = steadyStateMs * network.nodes.size;
  const bytes = sentBytesOf(network) - bytesBefore;
  return {
    bytesPerSecond: (bytes / nodeMs) * 1000,
    coreShare: usedMs / nodeMs,
  };
};

const measureSize = (members: number, seed: number): SizeMeasurement => {
  const network = MemberNetwork.create({
    members,
    zones: zoneCount,
    seed,
    heartbeat,
  });
  const convergedMs = measureConvergenceMs(network);
  network.run(settleMs);
  const steadyState = measureSteadyState(network);
  const killed = memberName(members - 1);
  const killedAt = network.now;
  network.freeze(killed, detectionWindowMs * 2);
  network.run(detectionWindowMs);
  const deaths = network.changes.filter(
    ({ status }) => status === MemberStatus.Dead,
  );
  const detectionTimesMs = deaths
    .filter(({ router }) => router === killed)
    .map(({ at }) => at - killedAt);
  return {
    members,
    convergedMs,
    detectedP95Ms:
      detectionTimesMs.length < members - 1
        ? Infinity
        : quantile(detectionTimesMs, 0.95),
    falseDeaths: deaths.filter(({ router }) => router !== killed).length,
    ...steadyState,
  };
};

const rowsOfSize = (measurement: SizeMeasurement): Row[] => {
  const prefix = `membership.${String(measurement.members)}`;
  return [
    { name: `${prefix}.converged`, value: measurement.convergedMs, unit: "ms" },
    {
      name: `${prefix}.detected.p95`,
      value: measurement.detectedP95Ms,
      unit: "ms",
    },
    {
      name: `${prefix}.falseDeaths`,
      value: measurement.falseDeaths,
      unit: "deaths",
      bound: { type: "atMost", value: 0 },
    },
    {
      name: `${prefix}.sent`,
      value: measurement.bytesPerSecond,
      unit: "bytes/s/node",
      bound: { type: "atMost", value: maxBytesPerSecond },
    },
    {
      name: `${prefix}.core`,
      value: measurement.coreShare,
      unit: "share/node",
      bound: { type: "atMost", value: maxCoreShare },
    },
  ];
};

/** Least-squares slope of a measured value over the number of members. */
const slopeOf = (
  measured: readonly SizeMeasurement[],
  valueOf: (measurement: SizeMeasurement) => number,
): number => {
  const meanX =
    measured.reduce((sum, { members }) => sum + members, 0) / measured.length;
  const meanY =
    measured.reduce((sum, measurement) => sum + valueOf(measurement), 0) /
    measured.length;
  let covarianceSum = 0;
  let varianceSum = 0;
  for (const measurement of measured) {
    covarianceSum +=
      (measurement.members - meanX) * (valueOf(measurement) - meanY);
    varianceSum += (measurement.members - meanX) ** 2;
  }
  return covarianceSum / varianceSum;
};

const readProcessorMs = async ({
  process: { pid },
}: FleetRouter): Promise<number> => {
  const stat = await readFile(`/proc/${String(pid)}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return (
    ((Number(fields[11]) + Number(fields[12])) * 1000) / clockTicksPerSecond
  );
};

const readResidentMb = async ({
  process: { pid },
}: FleetRouter): Promise<number> => {
  const status = await readFile(`/proc/${String(pid)}/status`, "utf8");
  const kb = /VmRSS:\s+(\d+)/.exec(status)?.[1] ?? "0";
  return Number(kb) / 1024;
};

interface Timeline {
  readonly events: readonly {
    readonly at: string;
    readonly name: string;
    readonly detail?: string;
  }[];
}

const readDetectedAt = async (
  router: FleetRouter,
  killed: string,
): Promise<number> => {
  const res = await request(`${router.administrationUrl}/timeline`, {
    headers: { authorization: `Bearer ${operatorToken}` },
  });
  const { events } = (await res.body.json()) as Timeline;
  const deathEvent = events.find(
    ({ name, detail }) => name === "dead" && detail === killed,
  );
  return deathEvent === undefined
    ? Infinity
    : Number(deathEvent.at.split("-")[0]);
};

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

/** Measures idle router processes: the cost of the control plane per node, and the time to detect a killed router. */
const measureRouters = async (): Promise<Row[]> => {
  const fleet = await Fleet.create({ engines: 2, routers: 8 });
  try {
    await pause(3000);
    const before = await Promise.all(fleet.routers.map(readProcessorMs));
    await pause(8000);
    const after = await Promise.all(fleet.routers.map(readProcessorMs));
    const coreShares = after.map(
      (ms, index) => (ms - (before[index] ?? 0)) / 8000,
    );
    const residentMb = await Promise.all(fleet.routers.map(readResidentMb));
    const [killedRouter, ...others] = fleet.routers;
    const killedAt = Date.now();
    killedRouter?.process.signal("SIGKILL");
    await pause(9000);
    const detectedAt = await Promise.all(
      others.map((router) => readDetectedAt(router, killedRouter?.name ?? "")),
    );
    return [
      {
        name: "membership.routers8.core.max",
        value: Math.max(...coreShares),
        unit: "share/node",
        bound: { type: "atMost", value: maxCoreShare },
      },
      {
        name: "membership.routers8.resident.max",
        value: Math.max(...residentMb),
        unit: "MB",
        bound: { type: "atMost", value: 128 },
      },
      {
        name: "membership.routers8.detected.max",
        value: Math.max(...detectedAt) - killedAt,
        unit: "ms",
      },
    ];
  } finally {
    await fleet.stop();
  }
};

/** Failure detection, false positives and cost of membership. */
export const membership: Experiment = {
  name: "membership",
  description:
    "3 to 64 simulated members on a virtual clock with the mesh's message codec, and eight router processes",
  run: async ({ seed }) => {
    const routers = await measureRouters();
    const measured = memberCounts.map((size) => measureSize(size, seed));
    return [
      ...measured.flatMap(rowsOfSize),
      {
        name: "membership.sent.slope",
        value: slopeOf(measured, ({ bytesPerSecond }) => bytesPerSecond),
        unit: "bytes/s/node/member",
      },
      {
        name: "membership.core.slope",
        value: slopeOf(measured, ({ coreShare }) => coreShare),
        unit: "share/node/member",
      },
      ...routers,
    ];
  },
};
