/** Does one planned fault to a soak's fleet, and tells what it touched. */

import { setTimeout as sleep } from "node:timers/promises";
import { assertNever } from "@cardamomglade/common";
import type { StoreMood } from "@cardamomglade/users-platform/testing/standInStore";
import { LinkState, type FaultProxy } from "./faultProxy.js";
import { moodFor, type SoakFleet } from "./soakFleet.js";
import { ReplicaMood } from "./soakReplica.js";
import { soakBounds } from "./soakRouter.js";
import type { FaultSpan, PlannedSoakFault } from "./types.js";

const harmLink = async (
  proxy: FaultProxy,
  link: LinkState,
  lastsMs: number,
): Promise<void> => {
  proxy.set(link);
  await sleep(lastsMs);
  proxy.set(LinkState.Good);
};

const harmStore = async (
  { store }: SoakFleet,
  mood: StoreMood,
  lastsMs: number,
): Promise<void> => {
  store.mood = mood;
  await sleep(lastsMs);
  store.mood = "answers";
};

const restart = async (
  fleet: SoakFleet,
  index: number,
  end: "kill" | "stop",
  lastsMs: number,
): Promise<void> => {
  const router = fleet.routers[index];
  if (router === undefined || router.isRestarting) return;
  router.isRestarting = true;
  if (end === "kill") await router.kill();
  else {
    const code = await router.stop();
    if (code !== 0) fleet.ownEnds.push({ router: index, at: Date.now(), code });
  }
  await sleep(lastsMs);
  await router.start();
  router.isRestarting = false;
};

const pause = async (
  fleet: SoakFleet,
  index: number,
  lastsMs: number,
): Promise<void> => {
  fleet.routers[index]?.signal("SIGSTOP");
  await sleep(lastsMs);
  fleet.routers[index]?.signal("SIGCONT");
};

/** Harms the answers of a third of all replicas. */
const harmAnswers = async (
  fleet: SoakFleet,
  first: number,
  mood: ReplicaMood,
  lastsMs: number,
): Promise<void> => {
  const places = fleet.placesLike(first);
  await Promise.all(places.map((place) => moodFor(place, mood, lastsMs)));
};

const perform = async (
  fleet: SoakFleet,
  { action, lastsMs }: PlannedSoakFault,
): Promise<void> => {
  switch (action.type) {
    case "routerKill":
      return restart(fleet, action.router, "kill", lastsMs);
    case "routerStop":
      return restart(fleet, action.router, "stop", lastsMs);
    case "routerPause":
      return pause(fleet, action.router, lastsMs);
    case "routerReload":
      return fleet.routers[action.router]?.reload();
    case "storeCut":
      return harmLink(
        fleet.storeLink(action.router),
        lastsMs % 2 === 0 ? LinkState.Silent : LinkState.Reset,
        lastsMs,
      );
    case "storeBusy":
      return harmStore(fleet, "busy", lastsMs);
    case "storeSilent":
      return harmStore(fleet, "silent", lastsMs);
    case "storeCompact":
      fleet.store.compact();
      return;
    case "configChange":
      fleet.changeConfig();
      return;
    case "replicaCrash":
      return fleet.crash(fleet.placeAt(action.replica));
    case "replicaDrain":
      return fleet.drain(
        fleet.placeAt(action.replica),
        soakBounds.drainTimeoutMs + lastsMs,
      );
    case "answersLost":
    case "answersGarbled":
      return harmAnswers(fleet, action.replica, moods[action.type], lastsMs);
    case "linkSlow":
    case "linkReset":
    case "linkSilent":
    case "linkOneWay":
      return harmLink(
        fleet.placeAt(action.replica).proxy,
        linkStates[action.type],
        lastsMs,
      );
    default:
      return assertNever(action);
  }
};

const moods = {
  answersLost: ReplicaMood.LosesAnswers,
  answersGarbled: ReplicaMood.Garbles,
} as const;

const linkStates = {
  linkSlow: LinkState.Slow,
  linkReset: LinkState.Reset,
  linkSilent: LinkState.Silent,
  linkOneWay: LinkState.OneWay,
} as const;

/** Injects a fault now; resolves with its span when it is over. */
export const injectSoakFault = async (
  fleet: SoakFleet,
  fault: PlannedSoakFault,
): Promise<FaultSpan> => {
  const { action } = fault;
  const from = Date.now();
  await perform(fleet, fault);
  const router = "router" in action ? action.router : undefined;
  return { type: action.type, router, from, to: Date.now() };
};
