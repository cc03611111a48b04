/** The configuration between routers: asked for, offered, and who watches the store. */

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

/** What a router that has just started knows of its peers' configurations. */
export const createConfigMesh = (): ConfigMesh => ({
  isWatching: true,
  askAt: 0,
  asked: 0,
  zones: new Map(),
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

/** Notes where routers are; asks one whose heartbeat names a newer revision. */
export const hearConfigGossip = (
  state: RouterState,
  peer: string,
  { revision, members }: MessageOf<"gossip">,
): RouterCommand[] => {
  const { zones } = state.configMesh;
  for (const { router, zone, status } of members) {
    if (status === MemberStatus.Alive) zones.set(router, zone);
    else zones.delete(router);
  }
  return revision > state.config.revision ? [ask(state, peer)] : [];
};

/** Forgets where a lost router is. */
export const forgetConfigPeer = (state: RouterState, peer: string): void => {
  state.configMesh.zones.delete(peer);
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
  const { zones } = before;
  zones.set(name, zone);
  const isWatching = isConfigWatcher({ router: name, zone, zones });
  const peers = [...state.linkedPeers];
  const peer = peers[before.asked % Math.max(1, peers.length)];
  const isAsking = !isWatching || state.config.revision === 0;
  const configMesh = {
    isWatching,
    askAt: at + askEveryMs,
    asked: before.asked + 1,
    zones,
  };
  const asks = isAsking && peer !== undefined ? [ask(state, peer)] : [];
  const commands = [...watchCommands(before, configMesh), ...asks];
  return { state: { ...state, configMesh }, commands };
};
