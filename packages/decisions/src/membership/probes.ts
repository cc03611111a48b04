/** Probes of linked routers, relayed probes and suspicion. */

import { draw, type Moment } from "@cardamomglade/common";
import { MemberStatus } from "@cardamomglade/schema";
import { composeGossip } from "./compose.js";
import {
  confirmations,
  fanOut,
  gossipEveryMs,
  leastProbeMs,
  leastSuspicionMs,
  relayedProbeMs,
  relays,
  roundTripsPerProbe,
  suspicionRange,
} from "./constants.js";
import { countPresent, setStatus } from "./table.js";
import type {
  Member,
  MembershipCommand,
  MembershipState,
  Probe,
} from "./types.js";

const smoothing = 0.2;
const slowestFactor = 4;

/** Times are longer while most of this router's own probes fail: then the fault may be here. */
const patience = (state: MembershipState): number =>
  1 + (slowestFactor - 1) * state.failing;

/** Draws the next number. */
const random = (state: MembershipState): number => {
  const drawn = draw(state.generator);
  state.generator = drawn.state;
  return drawn.value;
};

const shuffle = (state: MembershipState, names: string[]): string[] => {
  for (let last = names.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random(state) * (last + 1));
    const [a = "", b = ""] = [names[last], names[other]];
    names[last] = b;
    names[other] = a;
  }
  return names;
};

const probeWaitMs = (state: MembershipState, target: string): number => {
  const roundTripMs = state.members.get(target)?.roundTripMs ?? 0;
  const waitMs = Math.max(leastProbeMs, roundTripMs * roundTripsPerProbe);
  return waitMs * patience(state);
};

/** Sends a heartbeat that asks for an acknowledgement. */
export const sendProbe = (
  state: MembershipState,
  target: string,
  at: Moment,
  onBehalfOf?: Probe["onBehalfOf"],
): MembershipCommand => {
  const number = state.nextProbe;
  state.nextProbe += 1;
  const behalf = onBehalfOf === undefined ? {} : { onBehalfOf };
  state.probes.set(number, {
    target,
    sentAt: at,
    deadline: at + probeWaitMs(state, target),
    isRelayed: onBehalfOf !== undefined,
    ...behalf,
  });
  const message = composeGossip(state, { probe: number, withDemand: true });
  return { type: "send", peer: target, message };
};

/** Heartbeats of one interval: the next linked routers in a shuffled order. */
export const sendHeartbeats = (
  state: MembershipState,
  at: Moment,
): MembershipCommand[] => {
  state.turn = state.turn.filter((peer) => state.links.has(peer));
  if (state.turn.length < fanOut) {
    const left = new Set(state.turn);
    const others = [...state.links].filter((peer) => !left.has(peer));
    state.turn.push(...shuffle(state, others));
  }
  const targets = state.turn.splice(0, fanOut);
  const jitter = 0.8 + 0.4 * random(state);
  state.nextGossipAt = at + gossipEveryMs * jitter;
  return targets.map((target) => sendProbe(state, target, at));
};

/** Takes an acknowledgement; passes it on where the probe was relayed. */
export const hearAck = (
  state: MembershipState,
  number: number,
  at: Moment,
): MembershipCommand[] => {
  const probe = state.probes.get(number);
  if (probe === undefined) return [];
  state.probes.delete(number);
  state.failing *= 1 - smoothing;
  const member = state.members.get(probe.target);
  if (member !== undefined && !probe.isRelayed)
    member.roundTripMs += smoothing * (at - probe.sentAt - member.roundTripMs);
  if (probe.onBehalfOf === undefined) return [];
  const { router, probe: ack } = probe.onBehalfOf;
  const message = composeGossip(state, { ack, withDemand: true });
  return [{ type: "send", peer: router, message }];
};

const askRelays = (
  state: MembershipState,
  number: number,
  probe: Probe,
  at: Moment,
): MembershipCommand[] => {
  probe.isRelayed = true;
  probe.deadline = at + relayedProbeMs * patience(state);
  const others = [...state.links].filter((peer) => peer !== probe.target);
  return shuffle(state, others)
    .slice(0, relays)
    .map((peer) => ({
      type: "send" as const,
      peer,
      message: composeGossip(state, {
        probe: number,
        relayTo: probe.target,
      }),
    }));
};

/** Looks at probes whose time is over: asks others, then suspects. */
export const reviewProbes = (
  state: MembershipState,
  at: Moment,
): MembershipCommand[] => {
  const commands: MembershipCommand[] = [];
  for (const [number, probe] of state.probes) {
    if (probe.deadline > at) continue;
    if (!probe.isRelayed) {
      commands.push(...askRelays(state, number, probe, at));
      continue;
    }
    state.probes.delete(number);
    if (probe.onBehalfOf !== undefined) continue;
    state.failing += smoothing * (1 - state.failing);
    const member = state.members.get(probe.target);
    if (member?.record.status === MemberStatus.Alive)
      commands.push(...setStatus(state, member, MemberStatus.Suspect, at));
  }
  return commands;
};

const suspicionMs = (state: MembershipState, member: Member): number => {
  const size = Math.max(10, countPresent(state));
  const least = leastSuspicionMs * Math.log10(size) * patience(state);
  const others = Math.min(confirmations, member.suspectedBy.size - 1);
  const confirmed =
    Math.log(Math.max(0, others) + 1) / Math.log(confirmations + 1);
  return least * (suspicionRange - (suspicionRange - 1) * confirmed);
};

/** Declares dead whoever did not refute its suspicion in time. */
export const reviewSuspicions = (
  state: MembershipState,
  at: Moment,
): MembershipCommand[] => {
  const commands: MembershipCommand[] = [];
  for (const member of state.members.values()) {
    if (member.record.status !== MemberStatus.Suspect) continue;
    if (at - member.changedAt < suspicionMs(state, member)) continue;
    commands.push(...setStatus(state, member, MemberStatus.Dead, at));
  }
  return commands;
};

/** Moves every deadline by the time that this process was paused. */
export const forgivePause = (state: MembershipState, byMs: number): void => {
  for (const probe of state.probes.values()) probe.deadline += byMs;
  for (const member of state.members.values())
    if (member.record.status === MemberStatus.Suspect) member.changedAt += byMs;
};
