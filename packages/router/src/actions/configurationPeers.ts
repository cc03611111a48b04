/** The configuration between routers: asked for, offered, and who watches the store. */

import { rendezvousOrder } from "@cardamomglade/common";
import {
  formatConfigRecord,
  isConfigWatcher,
  parseConfigRecord,
} from "@cardamomglade/decisions";
import {
  MemberStatus,
  TimelineTopic,
  type PeerMessage,
} from "@cardamomglade/schema";
import type { ConfigMesh, RouterCommand, RouterState } from "../types.js";
import { configurationRead } from "./configurationRead.js";
import type { RouterStep } from "./types.js";

type MessageOf<T extends PeerMessage["type"]> = Extract<
  PeerMessage,
  { type: T }
>;

const askEveryMs = 1000;
const executorCandidates = 3;

/** What a router that has just started knows of its peers' configurations. */
export const createConfigMesh = (): ConfigMesh => ({
  isWatching: true,
  isExecutorCandidate: false,
  askAt: 0,
  asked: 0,
});

const ask = (state: RouterState, peer: string): RouterCommand => ({
  type: "sendToPeer",
  peer,
  message: { type: "configRequest", above: state.config.revision },
});

/** Asks a newly linked router for a newer configuration. */
export const askLinkedPeer = (
  state: RouterState,
  peer: string,
): RouterCommand[] => [ask(state, peer)];

/** Offers the configuration in force to a router that has an older one. */
export const configRequestReceived = (
  state: RouterState,
  peer: string,
  { above }: MessageOf<"configRequest">,
): RouterStep => {
  const { revision, accepted } = state.config;
  if (revision <= above) return { state, commands: [] };
  const document = formatConfigRecord(accepted);
  const message = { type: "configOffer" as const, revision, document };
  return { state, commands: [{ type: "sendToPeer", peer, message }] };
};

/** Puts a peer's configuration in force if it is newer and well formed. */
export const configOfferReceived = (
  state: RouterState,
  at: number,
  peer: string,
  { document, revision }: MessageOf<"configOffer">,
): RouterStep => {
  if (revision <= state.config.revision) return { state, commands: [] };
  const parsed = parseConfigRecord(`offer of ${peer}`, document);
  if (parsed.type === "ok") {
    const accepted = parsed.value;
    const source = `peer ${peer}`;
    const event = { type: "configurationRead" as const, at, accepted, source };
    return configurationRead(state, event);
  }
  const event = {
    topic: TimelineTopic.Configuration,
    name: "refused",
    revision,
    detail: `malformed offer of ${peer}: ${parsed.error.join("; ")}`,
  };
  return { state, commands: [{ type: "record", event }] };
};

/** Asks a router whose heartbeat names a newer revision. */
export const hearConfigGossip = (
  state: RouterState,
  peer: string,
  { revision }: MessageOf<"gossip">,
): RouterCommand[] =>
  revision > state.config.revision ? [ask(state, peer)] : [];

// A few routers pursue the role, so that its upkeep does not grow with the fleet.
const isExecutorCandidate = (
  router: string,
  zones: ReadonlyMap<string, string>,
): boolean =>
  rendezvousOrder("executor", [...zones.keys()])
    .slice(0, executorCandidates)
    .includes(router);

/** Zones of the routers known to be alive, this one among them. */
const zonesOf = ({
  router,
  membership,
}: RouterState): ReadonlyMap<string, string> => {
  const alive = [...membership.members.values()]
    .map(({ record }) => record)
    .filter(({ status }) => status === MemberStatus.Alive);
  const zones = new Map(alive.map((record) => [record.router, record.zone]));
  return zones.set(router.name, router.zone);
};

const watchCommands = (
  before: ConfigMesh,
  after: ConfigMesh,
): RouterCommand[] =>
  before.isWatching === after.isWatching
    ? []
    : [{ type: "watchConfiguration", isWatching: after.isWatching }];

/**
 * Chooses whether this router watches the store, and asks a peer in turn where
 * it does not, or where it has no configuration yet.
 */
export const tendConfiguration = (
  state: RouterState,
  at: number,
): RouterStep => {
  const before = state.configMesh;
  if (at < before.askAt) return { state, commands: [] };
  const { name, zone } = state.router;
  const zones = zonesOf(state);
  const isWatching = isConfigWatcher({ router: name, zone, zones });
  const peers = [...state.linkedPeers];
  const peer = peers[before.asked % Math.max(1, peers.length)];
  const isAsking = !isWatching || state.config.revision === 0;
  const configMesh = {
    isWatching,
    isExecutorCandidate: isExecutorCandidate(name, zones),
    askAt: at + askEveryMs,
    asked: before.asked + 1,
  };
  const asks = isAsking && peer !== undefined ? [ask(state, peer)] : [];
  const commands = [...watchCommands(before, configMesh), ...asks];
  return { state: { ...state, configMesh }, commands };
};
