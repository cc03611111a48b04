/** Membership from 3 to 64 members: convergence, detection, bytes and processor time. */

import { readFile } from "node:fs/promises";
import { MemberStatus } from "@cardamomglade/schema";
import { request } from "undici";
import { Fleet, operatorToken } from "../harness/fleet.js";
import type { FleetRouter } from "../harness/fleetMembers.js";
import { memberName, MemberNetwork } from "../harness/memberNetwork.js";
import type { Experiment, Row } from "../types.js";
import { quantile } from "../report/quantile.js";

const sizes = [3, 8, 16, 32, 64];
const settleMs = 20_000;
const steadyMs = 20_000;
const detectMs = 20_000;
const zones = 5;
const customers = 10;
const bytesPerSecondTarget = 7 * 1024;
const coreShareTarget = 0.017;
const ticksPerSecond = 100;

interface Measured {
  readonly members: number;
  readonly convergedMs: number;
  readonly detectedP95Ms: number;
  readonly falseDeaths: number;
  readonly bytesPerSecond: number;
  readonly coreShare: number;
}

const heartbeat = {
  revision: 7,
  demand: Array.from({ length: customers }, (_, index) => ({
    customer: `customer-${String(index)}`,
    inFlight: index,
    waiting: 0,
    tokensPerSecond: index * 100,
  })),
};

const convergenceOf = (network: MemberNetwork): number => {
  const startedAt = network.now;
  while (!network.isConverged() && network.now - startedAt < settleMs)
    network.run(250);
  return network.now - startedAt;
};

const bytesOf = (network: MemberNetwork): number =>
  [...network.nodes.values()].reduce((sum, { bytes }) => sum + bytes, 0);

const measureSteady = (network: MemberNetwork) => {
  const bytesBefore = bytesOf(network);
  const { user, system } = process.cpuUsage();
  network.run(steadyMs);
  const after = process.cpuUsage();
  const usedMs = (after.user - user + after.system - system) / 1000;
  const nodeMs = steadyMs * network.nodes.size;
  const bytes = bytesOf(network) - bytesBefore;
  return {
    bytesPerSecond: (bytes / nodeMs) * 1000,
    coreShare: usedMs / nodeMs,
  };
};

const measureSize = (members: number, seed: number): Measured => {
  const network = MemberNetwork.create({ members, zones, seed, heartbeat });
  const convergedMs = convergenceOf(network);
  network.run(settleMs);
  const steady = measureSteady(network);
  const killed = memberName(members - 1);
  const killedAt = network.now;
  network.freeze(killed, detectMs * 2);
  network.run(detectMs);
  const deaths = network.changes.filter(
    ({ status }) => status === MemberStatus.Dead,
  );
  const detections = deaths
    .filter(({ router }) => router === killed)
    .map(({ at }) => at - killedAt);
  return {
    members,
    convergedMs,
    detectedP95Ms:
      detections.length < members - 1 ? Infinity : quantile(detections, 0.95),
    falseDeaths: deaths.filter(({ router }) => router !== killed).length,
    ...steady,
  };
};

const rowsOfSize = (one: Measured): Row[] => {
  const prefix = `membership.${String(one.members)}`;
  return [
    { name: `${prefix}.converged`, value: one.convergedMs, unit: "ms" },
    { name: `${prefix}.detected.p95`, value: one.detectedP95Ms, unit: "ms" },
    {
      name: `${prefix}.falseDeaths`,
      value: one.falseDeaths,
      unit: "deaths",
      bound: { type: "atMost", value: 0 },
    },
    {
      name: `${prefix}.sent`,
      value: one.bytesPerSecond,
      unit: "bytes/s/node",
      bound: { type: "atMost", value: bytesPerSecondTarget },
    },
    {
      name: `${prefix}.core`,
      value: one.coreShare,
      unit: "share/node",
      bound: { type: "atMost", value: coreShareTarget },
    },
  ];
};

/** Least-squares slope of a figure over the number of members. */
const slopeOf = (
  measured: readonly Measured[],
  valueOf: (one: Measured) => number,
): number => {
  const meanX =
    measured.reduce((sum, { members }) => sum + members, 0) / measured.length;
  const meanY =
    measured.reduce((sum, one) => sum + valueOf(one), 0) / measured.length;
  let over = 0;
  let under = 0;
  for (const one of measured) {
    over += (one.members - meanX) * (valueOf(one) - meanY);
    under += (one.members - meanX) ** 2;
  }
  return over / under;
};

const cpuMsOf = async ({ process: { pid } }: FleetRouter): Promise<number> => {
  const stat = await readFile(`/proc/${String(pid)}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return ((Number(fields[11]) + Number(fields[12])) * 1000) / ticksPerSecond;
};

const residentMbOf = async ({
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

const deathSeenAt = async (
  router: FleetRouter,
  killed: string,
): Promise<number> => {
  const res = await request(`${router.administrationUrl}/timeline`, {
    headers: { authorization: `Bearer ${operatorToken}` },
  });
  const { events } = (await res.body.json()) as Timeline;
  const seen = events.find(
    ({ name, detail }) => name === "dead" && detail === killed,
  );
  return seen === undefined ? Infinity : Number(seen.at.split("-")[0]);
};

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

/** Idle router processes: everything that control costs a node, and the time to see a death. */
const measureRouters = async (): Promise<Row[]> => {
  const fleet = await Fleet.create({ engines: 2, routers: 8 });
  try {
    await pause(3000);
    const before = await Promise.all(fleet.routers.map(cpuMsOf));
    await pause(8000);
    const after = await Promise.all(fleet.routers.map(cpuMsOf));
    const shares = after.map((ms, index) => (ms - (before[index] ?? 0)) / 8000);
    const memory = await Promise.all(fleet.routers.map(residentMbOf));
    const [victim, ...others] = fleet.routers;
    const killedAt = Date.now();
    victim?.process.signal("SIGKILL");
    await pause(9000);
    const seen = await Promise.all(
      others.map((router) => deathSeenAt(router, victim?.name ?? "")),
    );
    return [
      {
        name: "membership.routers8.core.max",
        value: Math.max(...shares),
        unit: "share/node",
        bound: { type: "atMost", value: coreShareTarget },
      },
      {
        name: "membership.routers8.resident.max",
        value: Math.max(...memory),
        unit: "MB",
        bound: { type: "atMost", value: 128 },
      },
      {
        name: "membership.routers8.detected.max",
        value: Math.max(...seen) - killedAt,
        unit: "ms",
      },
    ];
  } finally {
    await fleet.stop();
  }
};

/** Detection, false suspicion and cost of membership. */
export const membership: Experiment = {
  name: "membership",
  description:
    "folds of 3 to 64 members with the mesh's codec on a virtual clock, and eight router processes",
  run: async ({ seed }) => {
    const routers = await measureRouters();
    const measured = sizes.map((size) => measureSize(size, seed));
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
