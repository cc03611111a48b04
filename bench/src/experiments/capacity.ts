/** Measures cost per stream, token, router and member, from which the capacity documentation projects the fleet size expected in two years. */

import { setTimeout as sleep } from "node:timers/promises";
import { encodeMessage } from "@cardamomglade/peers";
import { MemberStatus, type Gossip } from "@cardamomglade/schema";
import {
  createCapacityIntent,
  targetIntentSize,
} from "../capacity/createCapacityIntent.js";
import { callerKey, Fleet, fleetModel } from "../harness/fleet.js";
import { readLedger, type FleetRouter } from "../harness/fleetMembers.js";
import { readUsage, type ProcessUsage } from "../harness/processUsage.js";
import { readAnswer } from "../harness/readAnswer.js";
import type { Experiment, Row } from "../types.js";

const streamCounts = [0, 200];
const tokensPerStream = 350;
const warmUpMs = 1500;
const streamWindowMs = 5000;
const streamTokensPerSecond = 50;
const routerCounts = [4, 8];
const settleMs = 2000;
const idleWindowMs = 5000;
const targetRouterCount = 330;
const msPerSecond = 1000;
const maxIdleCoreShare = 0.017;
const maxIdleResidentBytes = 128 * 1024 * 1024;

interface StreamUsage {
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
): Promise<StreamUsage> => {
  const [router] = fleet.routers;
  const pid = pidOf(router);
  const pendingAnswers = Array.from({ length: streams }, (_, index) =>
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
  await Promise.all(pendingAnswers);
  const { residentBytes } = after;
  const processorMs = after.processorMs - before.processorMs;
  return { streams, residentBytes, processorMs };
};

const measureStreamSlopes = async (): Promise<Row[]> => {
  const fleet = await Fleet.create({ engines: 2, routers: 1, slots: 128 });
  try {
    const usages: StreamUsage[] = [];
    for (const streams of streamCounts)
      usages.push(await measureStreams(fleet, streams));
    const [idle, loaded] = usages;
    if (idle === undefined || loaded === undefined) return [];
    const tokenCount =
      loaded.streams * streamTokensPerSecond * (streamWindowMs / msPerSecond);
    const growthBytes = loaded.residentBytes - idle.residentBytes;
    return [
      {
        name: "capacity.residentIdle",
        value: idle.residentBytes,
        unit: "bytes",
        bound: { type: "atMost", value: maxIdleResidentBytes },
      },
      {
        name: "capacity.residentAStream",
        value: Math.round(growthBytes / loaded.streams),
        unit: "bytes",
        series: {
          plot: "Resident memory against streams",
          name: "router",
          xAxis: "streams",
          yAxis: "bytes",
          points: usages.map(({ streams, residentBytes }) => ({
            x: streams,
            y: residentBytes,
          })),
        },
      },
      {
        name: "capacity.processorAToken",
        value:
          ((loaded.processorMs - idle.processorMs) / tokenCount) * msPerSecond,
        unit: "us",
      },
    ];
  } finally {
    await fleet.stop();
  }
};

type CallCounts = Readonly<Record<string, number>>;

interface IdleUsage {
  readonly routers: number;
  readonly usages: readonly ProcessUsage[];
  readonly callsPerSecond: CallCounts;
}

const readCallCounts = async (fleet: Fleet): Promise<CallCounts> => {
  const { calls } = await readLedger<{ calls: CallCounts }>(fleet.keyValue);
  return calls;
};

const readRouterUsages = (fleet: Fleet): Promise<ProcessUsage[]> =>
  Promise.all(fleet.routers.map((router) => readUsage(pidOf(router))));

const measureIdle = async (routers: number): Promise<IdleUsage> => {
  const fleet = await Fleet.create({ engines: 2, routers });
  try {
    await sleep(settleMs);
    const [callsBefore, before] = [
      await readCallCounts(fleet),
      await readRouterUsages(fleet),
    ];
    await sleep(idleWindowMs);
    const [calls, after] = [
      await readCallCounts(fleet),
      await readRouterUsages(fleet),
    ];
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

// Linear extrapolation from the two fleet sizes; a call type whose rate does not grow keeps its rate.
const extrapolate = (
  smallFleetRate: number,
  largeFleetRate: number,
): number => {
  const [small = 0, large = 1] = routerCounts;
  const slope = (largeFleetRate - smallFleetRate) / (large - small);
  return Math.max(0, largeFleetRate + slope * (targetRouterCount - large));
};

const measureIdleSlopes = async (): Promise<Row[]> => {
  const usages: IdleUsage[] = [];
  for (const size of routerCounts) usages.push(await measureIdle(size));
  const [smallFleet, largeFleet] = usages;
  if (smallFleet === undefined || largeFleet === undefined) return [];
  const maxProcessorMs = Math.max(
    ...largeFleet.usages.map(({ processorMs }) => processorMs),
  );
  const maxResidentBytes = Math.max(
    ...largeFleet.usages.map(({ residentBytes }) => residentBytes),
  );
  const paths = Object.keys(largeFleet.callsPerSecond)
    .filter((path) => path.startsWith("/v3/"))
    .sort();
  return [
    {
      name: "capacity.controlShareOfCore",
      value: maxProcessorMs / idleWindowMs,
      unit: "cores",
      bound: { type: "atMost", value: maxIdleCoreShare },
    },
    {
      name: "capacity.controlResident",
      value: maxResidentBytes,
      unit: "bytes",
      bound: { type: "atMost", value: maxIdleResidentBytes },
    },
    ...paths.flatMap((path) => {
      const measured = largeFleet.callsPerSecond[path] ?? 0;
      const projected = extrapolate(
        smallFleet.callsPerSecond[path] ?? 0,
        measured,
      );
      return [
        { name: `capacity.calls8${path}`, value: measured, unit: "calls/s" },
        { name: `capacity.calls330${path}`, value: projected, unit: "calls/s" },
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
  const oneMemberBytes = encodeMessage(gossipOf(1)).length;
  const elevenMembersBytes = encodeMessage(gossipOf(11)).length;
  const document = JSON.stringify(createCapacityIntent(targetIntentSize));
  return [
    {
      name: "capacity.memberRecord",
      value: (elevenMembersBytes - oneMemberBytes) / 10,
      unit: "bytes",
    },
    {
      name: "capacity.configuration",
      value: Buffer.byteLength(document),
      unit: "bytes",
      bound: { type: "atMost", value: 1_048_576 },
    },
  ];
};

/** Measures the cost of a stream, a token, a member and a configuration. */
export const capacity: Experiment = {
  name: "capacity",
  description:
    "growth of memory, processor time, messages and calls with the load and the fleet",
  run: async () => [
    ...measureSizes(),
    ...(await measureStreamSlopes()),
    ...(await measureIdleSlopes()),
  ],
};
