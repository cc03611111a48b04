/** Slopes from which the capacity page works out the size of two years from now. */

import { setTimeout as sleep } from "node:timers/promises";
import { encodeMessage } from "@cardamomglade/peers";
import { MemberStatus, type Gossip } from "@cardamomglade/schema";
import { planIntent, targetSize } from "../capacity/createCapacityIntent.js";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import { readLedger, type FleetRouter } from "../harness/fleetMembers.js";
import { readUsage, type ProcessUsage } from "../harness/processUsage.js";
import { readAnswer } from "../harness/readAnswer.js";
import type { Experiment, Row } from "../types.js";

const streamSteps = [0, 200];
const tokensPerStream = 350;
const warmUpMs = 1500;
const streamWindowMs = 5000;
const tokensPerSecond = 50;
const fleetSizes = [4, 8];
const settleMs = 2000;
const idleWindowMs = 5000;
const nodesAtTarget = 330;
const msPerSecond = 1000;
const controlShare = 0.017;
const controlBytes = 128 * 1024 * 1024;

interface StreamPoint {
  readonly streams: number;
  readonly residentBytes: number;
  readonly processorMs: number;
}

const pidOf = (router: FleetRouter | undefined): number => {
  if (router === undefined) throw new Error("the fleet has no router");
  return router.process.pid;
};

const measureStreams = async (
  fleet: Fleet,
  streams: number,
): Promise<StreamPoint> => {
  const [router] = fleet.routers;
  const pid = pidOf(router);
  const asked = Array.from({ length: streams }, (_, index) =>
    readAnswer({
      url: router?.callersUrl ?? "",
      key: callerKey(0),
      model: fleetModel.model,
      prompt: `Contract ${String(index)} of ${String(streams)}`,
      maxTokens: tokensPerStream,
    }),
  );
  await sleep(warmUpMs);
  const before = await readUsage(pid);
  await sleep(streamWindowMs);
  const after = await readUsage(pid);
  await Promise.all(asked);
  const { residentBytes } = after;
  const processorMs = after.processorMs - before.processorMs;
  return { streams, residentBytes, processorMs };
};

const measureStreamSlopes = async (): Promise<Row[]> => {
  const fleet = await Fleet.create({ engines: 2, routers: 1, slots: 128 });
  try {
    const points: StreamPoint[] = [];
    for (const streams of streamSteps)
      points.push(await measureStreams(fleet, streams));
    const [idle, most] = points;
    if (idle === undefined || most === undefined) return [];
    const tokens =
      most.streams * tokensPerSecond * (streamWindowMs / msPerSecond);
    const growth = most.residentBytes - idle.residentBytes;
    return [
      {
        name: "capacity.residentIdle",
        value: idle.residentBytes,
        unit: "bytes",
        bound: { type: "atMost", value: controlBytes },
      },
      {
        name: "capacity.residentAStream",
        value: Math.round(growth / most.streams),
        unit: "bytes",
        series: {
          plot: "Resident memory against streams",
          name: "router",
          xAxis: "streams",
          yAxis: "bytes",
          points: points.map(({ streams, residentBytes }) => ({
            x: streams,
            y: residentBytes,
          })),
        },
      },
      {
        name: "capacity.processorAToken",
        value: ((most.processorMs - idle.processorMs) / tokens) * msPerSecond,
        unit: "us",
      },
    ];
  } finally {
    await fleet.stop();
  }
};

type CallCounts = Readonly<Record<string, number>>;

interface IdlePoint {
  readonly routers: number;
  readonly usages: readonly ProcessUsage[];
  readonly callsPerSecond: CallCounts;
}

const readCalls = async (fleet: Fleet): Promise<CallCounts> => {
  const { calls } = await readLedger<{ calls: CallCounts }>(fleet.keyValue);
  return calls;
};

const usagesOf = (fleet: Fleet): Promise<ProcessUsage[]> =>
  Promise.all(fleet.routers.map((router) => readUsage(pidOf(router))));

const measureIdle = async (routers: number): Promise<IdlePoint> => {
  const fleet = await Fleet.create({ engines: 2, routers });
  try {
    await sleep(settleMs);
    const [callsBefore, before] = [
      await readCalls(fleet),
      await usagesOf(fleet),
    ];
    await sleep(idleWindowMs);
    const [calls, after] = [await readCalls(fleet), await usagesOf(fleet)];
    const perSecond = Object.entries(calls).map(
      ([path, count]) =>
        [
          path,
          (count - (callsBefore[path] ?? 0)) / (idleWindowMs / msPerSecond),
        ] as const,
    );
    return {
      routers,
      callsPerSecond: Object.fromEntries(perSecond),
      usages: after.map(({ processorMs, residentBytes }, index) => ({
        processorMs: processorMs - (before[index]?.processorMs ?? 0),
        residentBytes,
      })),
    };
  } finally {
    await fleet.stop();
  }
};

// A straight line through both sizes; kinds that do not grow keep their rate.
const extrapolate = (few: number, many: number): number => {
  const [small = 0, large = 1] = fleetSizes;
  const slope = (many - few) / (large - small);
  return Math.max(0, many + slope * (nodesAtTarget - large));
};

const measureIdleSlopes = async (): Promise<Row[]> => {
  const points: IdlePoint[] = [];
  for (const size of fleetSizes) points.push(await measureIdle(size));
  const [few, many] = points;
  if (few === undefined || many === undefined) return [];
  const busiest = Math.max(
    ...many.usages.map(({ processorMs }) => processorMs),
  );
  const largest = Math.max(
    ...many.usages.map(({ residentBytes }) => residentBytes),
  );
  const paths = Object.keys(many.callsPerSecond)
    .filter((path) => path.startsWith("/v3/"))
    .sort();
  return [
    {
      name: "capacity.controlShareOfCore",
      value: busiest / idleWindowMs,
      unit: "cores",
      bound: { type: "atMost", value: controlShare },
    },
    {
      name: "capacity.controlResident",
      value: largest,
      unit: "bytes",
      bound: { type: "atMost", value: controlBytes },
    },
    ...paths.flatMap((path) => {
      const now = many.callsPerSecond[path] ?? 0;
      const then = extrapolate(few.callsPerSecond[path] ?? 0, now);
      return [
        { name: `capacity.calls8${path}`, value: now, unit: "calls/s" },
        { name: `capacity.calls330${path}`, value: then, unit: "calls/s" },
      ];
    }),
  ];
};

const gossipOf = (members: number): Gossip => ({
  type: "gossip",
  from: "router-100",
  at: "1764800000000-000001-router-100",
  revision: 100_000,
  members: Array.from({ length: members }, (_, index) => ({
    router: `router-${String(index)}`,
    url: `wss://10.0.1.${String(index)}:7443`,
    callersUrl: `https://10.0.1.${String(index)}:443`,
    administrationUrl: `https://10.0.1.${String(index)}:8443`,
    zone: `zone-${String(index % 5)}`,
    region: "region-1",
    incarnation: 3,
    status: MemberStatus.Alive,
  })),
  demand: [],
});

const measureSizes = (): Row[] => {
  const few = encodeMessage(gossipOf(1)).length;
  const many = encodeMessage(gossipOf(11)).length;
  const document = JSON.stringify(planIntent(targetSize));
  return [
    { name: "capacity.memberRecord", value: (many - few) / 10, unit: "bytes" },
    {
      name: "capacity.configuration",
      value: Buffer.byteLength(document),
      unit: "bytes",
      bound: { type: "atMost", value: 1_048_576 },
    },
  ];
};

/** What a stream, a token, a member and a configuration cost. */
export const capacity: Experiment = {
  name: "capacity",
  description: "slopes of memory, processor time, messages and calls",
  run: async () => [
    ...measureSizes(),
    ...(await measureStreamSlopes()),
    ...(await measureIdleSlopes()),
  ],
};
