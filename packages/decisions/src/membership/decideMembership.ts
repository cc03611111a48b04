/** Membership of routers by gossip over their links; a hint, on which no safety rests. */

import {
  assertNever,
  hash32,
  seedGenerator,
  type Moment,
  type Step,
} from "@cardamomglade/common";
import {
  MemberStatus,
  type Gossip,
  type RouterIdentity,
} from "@cardamomglade/schema";
import { composeGossip, takeRepair } from "./compose.js";
import { pauseMs, repairEveryMs, reviewEveryMs } from "./constants.js";
import { reviewNeighbours } from "./neighbours.js";
import {
  forgivePause,
  hearAck,
  reviewProbes,
  reviewSuspicions,
  sendHeartbeats,
  sendProbe,
} from "./probes.js";
import { digestOf, isPresent, mergeRecord } from "./table.js";
import type {
  Heartbeat,
  MembershipCommand,
  MembershipEvent,
  MembershipState,
} from "./types.js";

type MembershipStep = Step<MembershipState, MembershipCommand>;

/** The view of a router that has just started. */
export const createMembership = (router: RouterIdentity): MembershipState => ({
  self: {
    router: router.name,
    url: "",
    zone: router.zone,
    region: router.region,
    incarnation: 0,
    status: MemberStatus.Alive,
  },
  generator: seedGenerator(hash32(router.name)),
  heartbeat: { revision: 0, demand: [] },
  members: new Map(),
  links: new Set(),
  news: new Map(),
  probes: new Map(),
  neighbours: new Set(),
  turn: [],
  nextProbe: 0,
  nextGossipAt: 0,
  nextRepairAt: 0,
  nextReviewAt: 0,
  repairFrom: 0,
  demandFrom: 0,
  heardAt: 0,
  failing: 0,
});

const introduce = (
  state: MembershipState,
  peer: string,
): MembershipCommand[] => {
  state.links.add(peer);
  const message = composeGossip(state, {
    members: [state.self, ...takeRepair(state)],
    withDemand: true,
  });
  return [{ type: "send", peer, message }];
};

const loseLink = (
  state: MembershipState,
  peer: string,
  at: Moment,
): MembershipCommand[] => {
  state.links.delete(peer);
  const member = state.members.get(peer);
  if (member === undefined || !isPresent(member.record)) return [];
  return [sendProbe(state, peer, at)];
};

const answerProbe = (
  state: MembershipState,
  peer: string,
  gossip: Gossip,
  at: Moment,
): MembershipCommand[] => {
  if (gossip.probe === undefined) return [];
  if (gossip.relayTo !== undefined) {
    const onBehalfOf = { router: peer, probe: gossip.probe };
    return [sendProbe(state, gossip.relayTo, at, onBehalfOf)];
  }
  const message = composeGossip(state, {
    ack: gossip.probe,
    withDemand: true,
  });
  return [{ type: "send", peer, message }];
};

/** Tells a router that is wrongly held dead about it, and repairs tables that differ. */
const repair = (
  state: MembershipState,
  peer: string,
  gossip: Gossip,
  at: Moment,
): MembershipCommand[] => {
  const known = state.members.get(peer)?.record;
  const isMistaken = known !== undefined && !isPresent(known);
  const isDue =
    gossip.digest !== digestOf(state) &&
    at >= state.nextRepairAt &&
    state.news.size === 0;
  if (!isMistaken && !isDue) return [];
  state.nextRepairAt = at + repairEveryMs;
  const members = isMistaken ? [known] : takeRepair(state);
  const message = composeGossip(state, { members });
  return [{ type: "send", peer, message }];
};

const hearGossip = (
  state: MembershipState,
  peer: string,
  gossip: Gossip,
  at: Moment,
): MembershipCommand[] => {
  const commands = gossip.members.flatMap((record) =>
    mergeRecord(state, record, peer, at),
  );
  if (gossip.ack !== undefined)
    commands.push(...hearAck(state, gossip.ack, at));
  commands.push(...answerProbe(state, peer, gossip, at));
  commands.push(...repair(state, peer, gossip, at));
  return commands;
};

const timePassed = (
  state: MembershipState,
  heartbeat: Heartbeat,
  at: Moment,
): MembershipCommand[] => {
  const gapMs = at - state.heardAt;
  if (state.heardAt > 0 && gapMs > pauseMs) forgivePause(state, gapMs);
  state.heardAt = at;
  state.heartbeat = heartbeat;
  const commands = [...reviewProbes(state, at), ...reviewSuspicions(state, at)];
  if (at >= state.nextGossipAt) commands.push(...sendHeartbeats(state, at));
  if (at < state.nextReviewAt) return commands;
  state.nextReviewAt = at + reviewEveryMs;
  return [...commands, ...reviewNeighbours(state, at)];
};

// A restarted router starts above every incarnation it had before.
const listening = (
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
  state.news.set(state.self.router, 0);
};

const leave = (state: MembershipState): MembershipCommand[] => {
  state.self = { ...state.self, status: MemberStatus.Left };
  state.news.set(state.self.router, 0);
  return [...state.links].map((peer) => ({
    type: "send" as const,
    peer,
    message: composeGossip(state, { members: [state.self] }),
  }));
};

const react = (
  state: MembershipState,
  event: MembershipEvent,
): MembershipCommand[] => {
  const { at } = event;
  switch (event.type) {
    case "listening":
      listening(state, event);
      return [];
    case "linked":
      return introduce(state, event.peer);
    case "lost":
      return loseLink(state, event.peer, at);
    case "gossipReceived":
      return hearGossip(state, event.peer, event.gossip, at);
    case "timePassed":
      return timePassed(state, event.heartbeat, at);
    case "leaving":
      return leave(state);
    default:
      return assertNever(event);
  }
};

/** Folds one event into a router's view; the state is changed in place. */
export const decideMembership = (
  state: MembershipState,
  event: MembershipEvent,
): MembershipStep => ({ state, commands: react(state, event) });
