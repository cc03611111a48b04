/**
 * State machine of the routers' membership, by gossip over their links (SWIM
 * with suspicion). Membership is a hint: no safety property depends on it.
 */

import {
  assertNever,
  hash32,
  seedRandom,
  type Timestamp,
  type Transition,
} from "@cardamomglade/common";
import {
  MemberStatus,
  type Gossip,
  type RouterIdentity,
} from "@cardamomglade/schema";
import { composeGossip, takeSyncRecords } from "./composeGossip.js";
import {
  pauseThresholdMs,
  syncIntervalMs,
  neighbourUpdateIntervalMs,
} from "./constants.js";
import { updateNeighbours } from "./updateNeighbours.js";
import {
  extendDeadlines,
  handleAck,
  expireProbes,
  expireSuspicions,
  sendHeartbeats,
  sendProbe,
} from "./probes.js";
import { digestOf, isActive, mergeRecord } from "./memberTable.js";
import type {
  HeartbeatPayload,
  MembershipCommand,
  MembershipEvent,
  MembershipState,
} from "./types.js";

type MembershipStep = Transition<MembershipState, MembershipCommand>;

/** Creates the membership state of a router that has just started. */
export const createMembership = (router: RouterIdentity): MembershipState => ({
  self: {
    router: router.name,
    url: "",
    zone: router.zone,
    region: router.region,
    incarnation: 0,
    status: MemberStatus.Alive,
  },
  generator: seedRandom(hash32(router.name)),
  heartbeat: { revision: 0, demand: [] },
  members: new Map(),
  links: new Set(),
  pendingUpdates: new Map(),
  probes: new Map(),
  neighbours: new Set(),
  probeOrder: [],
  nextProbeNumber: 0,
  nextGossipAt: 0,
  nextSyncAt: 0,
  nextNeighbourUpdateAt: 0,
  nextSyncIndex: 0,
  nextDemandIndex: 0,
  lastTickAt: 0,
  probeFailureRate: 0,
});

const handleLinked = (
  state: MembershipState,
  peer: string,
): MembershipCommand[] => {
  state.links.add(peer);
  const message = composeGossip(state, {
    members: [state.self, ...takeSyncRecords(state)],
    hasDemand: true,
  });
  return [{ type: "send", peer, message }];
};

const handleLinkLost = (
  state: MembershipState,
  peer: string,
  at: Timestamp,
): MembershipCommand[] => {
  state.links.delete(peer);
  const member = state.members.get(peer);
  if (member === undefined || !isActive(member.record)) return [];
  return [sendProbe(state, peer, at)];
};

const answerProbe = (
  state: MembershipState,
  peer: string,
  gossip: Gossip,
  at: Timestamp,
): MembershipCommand[] => {
  if (gossip.probe === undefined) return [];
  if (gossip.relayTo !== undefined) {
    const requestedBy = { router: peer, probe: gossip.probe };
    return [sendProbe(state, gossip.relayTo, at, requestedBy)];
  }
  const message = composeGossip(state, {
    ack: gossip.probe,
    hasDemand: true,
  });
  return [{ type: "send", peer, message }];
};

/**
 * Sends a router that is listed as dead or left its own record, so that it can
 * refute it, and synchronizes member tables that differ.
 */
const syncTables = (
  state: MembershipState,
  peer: string,
  gossip: Gossip,
  at: Timestamp,
): MembershipCommand[] => {
  const known = state.members.get(peer)?.record;
  const isPeerListedInactive = known !== undefined && !isActive(known);
  const isSyncDue =
    gossip.digest !== digestOf(state) &&
    at >= state.nextSyncAt &&
    state.pendingUpdates.size === 0;
  if (!isPeerListedInactive && !isSyncDue) return [];
  state.nextSyncAt = at + syncIntervalMs;
  const members = isPeerListedInactive ? [known] : takeSyncRecords(state);
  const message = composeGossip(state, { members });
  return [{ type: "send", peer, message }];
};

const handleGossip = (
  state: MembershipState,
  peer: string,
  gossip: Gossip,
  at: Timestamp,
): MembershipCommand[] => {
  const commands = gossip.members.flatMap((record) =>
    mergeRecord(state, record, peer, at),
  );
  if (gossip.ack !== undefined)
    commands.push(...handleAck(state, gossip.ack, at));
  commands.push(...answerProbe(state, peer, gossip, at));
  commands.push(...syncTables(state, peer, gossip, at));
  return commands;
};

const handleTimerTicked = (
  state: MembershipState,
  heartbeat: HeartbeatPayload,
  at: Timestamp,
): MembershipCommand[] => {
  const gapMs = at - state.lastTickAt;
  if (state.lastTickAt > 0 && gapMs > pauseThresholdMs)
    extendDeadlines(state, gapMs);
  state.lastTickAt = at;
  state.heartbeat = heartbeat;
  const commands = [...expireProbes(state, at), ...expireSuspicions(state, at)];
  if (at >= state.nextGossipAt) commands.push(...sendHeartbeats(state, at));
  if (at < state.nextNeighbourUpdateAt) return commands;
  state.nextNeighbourUpdateAt = at + neighbourUpdateIntervalMs;
  return [...commands, ...updateNeighbours(state, at)];
};

// The incarnation is taken from the clock, so that a restarted router has a higher one than before.
const handleListening = (
  state: MembershipState,
  event: Extract<MembershipEvent, { type: "listening" }>,
): void => {
  const { url, callersUrl, administrationUrl, at } = event;
  const incarnation = Math.floor(at / 1000);
  state.self = {
    ...state.self,
    url,
    callersUrl,
    administrationUrl,
    incarnation,
  };
  state.pendingUpdates.set(state.self.router, 0);
};

const handleLeaving = (state: MembershipState): MembershipCommand[] => {
  state.self = { ...state.self, status: MemberStatus.Left };
  state.pendingUpdates.set(state.self.router, 0);
  return [...state.links].map((peer) => ({
    type: "send" as const,
    peer,
    message: composeGossip(state, { members: [state.self] }),
  }));
};

const applyEvent = (
  state: MembershipState,
  event: MembershipEvent,
): MembershipCommand[] => {
  const { at } = event;
  switch (event.type) {
    case "listening":
      handleListening(state, event);
      return [];
    case "linked":
      return handleLinked(state, event.peer);
    case "lost":
      return handleLinkLost(state, event.peer, at);
    case "gossipReceived":
      return handleGossip(state, event.peer, event.gossip, at);
    case "timerTicked":
      return handleTimerTicked(state, event.heartbeat, at);
    case "leaving":
      return handleLeaving(state);
    default:
      return assertNever(event);
  }
};

/** Applies one event; the state is mutated in place. */
export const decideMembership = (
  state: MembershipState,
  event: MembershipEvent,
): MembershipStep => ({ state, commands: applyEvent(state, event) });
