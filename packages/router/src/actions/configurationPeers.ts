/** Exchange of the configuration between routers, and the choice of those that watch the store. */

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
import type { ConfigSync, RouterCommand, RouterState } from "../types.js";
import { configurationRead } from "./configurationRead.js";
import type { RouterStep } from "./types.js";

type MessageOf<T extends PeerMessage["type"]> = Extract<
  PeerMessage,
  { type: T }
>;

const requestIntervalMs = 1000;
const executorCandidateCount = 3;

/** Initial state of the configuration exchange. */
export const createConfigSync = (): ConfigSync => ({
  isWatching: true,
  isExecutorCandidate: false,
  nextRequestAt: 0,
  peerRequestCount: 0,
});

const requestConfig = (state: RouterState, peer: string): RouterCommand => ({
  type: "sendToPeer",
  peer,
  message: { type: "configRequest", above: state.config.revision },
});

/** Requests a newer configuration from a newly connected router. */
export const requestConfigFromPeer = (
  state: RouterState,
  peer: string,
): RouterCommand[] => [requestConfig(state, peer)];

/** Sends the configuration in force to a router that has an older one. */
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

/** Applies a peer's configuration if it is newer and valid. */
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

/** Requests the configuration from a router whose heartbeat carries a newer revision. */
export const configGossipReceived = (
  state: RouterState,
  peer: string,
  { revision }: MessageOf<"gossip">,
): RouterCommand[] =>
  revision > state.config.revision ? [requestConfig(state, peer)] : [];

// Only a few routers compete for the role, so that its lease traffic does not grow with the fleet.
const isExecutorCandidate = (
  router: string,
  zones: ReadonlyMap<string, string>,
): boolean =>
  rendezvousOrder("executor", [...zones.keys()])
    .slice(0, executorCandidateCount)
    .includes(router);

/** Zones of the routers that are alive, including this one. */
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
  before: ConfigSync,
  after: ConfigSync,
): RouterCommand[] =>
  before.isWatching === after.isWatching
    ? []
    : [{ type: "watchConfiguration", isWatching: after.isWatching }];

/**
 * Decides whether this router watches the store. A router that does not watch,
 * or has no configuration yet, requests it from its peers in round-robin order.
 */
export const tickConfiguration = (
  state: RouterState,
  at: number,
): RouterStep => {
  const before = state.configSync;
  if (at < before.nextRequestAt) return { state, commands: [] };
  const { name, zone } = state.router;
  const zones = zonesOf(state);
  const isWatching = isConfigWatcher({ router: name, zone, zones });
  const peers = [...state.linkedPeers];
  const peer = peers[before.peerRequestCount % Math.max(1, peers.length)];
  const isRequesting = !isWatching || state.config.revision === 0;
  const configSync = {
    isWatching,
    isExecutorCandidate: isExecutorCandidate(name, zones),
    nextRequestAt: at + requestIntervalMs,
    peerRequestCount: before.peerRequestCount + 1,
  };
  const requests =
    isRequesting && peer !== undefined ? [requestConfig(state, peer)] : [];
  const commands = [...watchCommands(before, configSync), ...requests];
  return { state: { ...state, configSync }, commands };
};
