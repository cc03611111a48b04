/** Failure detection: direct and indirect probes, and suspicion timeouts. */

import { nextRandom, type Timestamp } from "@cardamomglade/common";
import { MemberStatus } from "@cardamomglade/schema";
import { composeGossip } from "./composeGossip.js";
import {
  confirmationCountForMinSuspicion,
  gossipFanOut,
  gossipIntervalMs,
  minProbeTimeoutMs,
  minSuspicionTimeoutMs,
  indirectProbeTimeoutMs,
  indirectProbeCount,
  probeTimeoutRoundTripCount,
  maxSuspicionFactor,
} from "./constants.js";
import { countActiveMembers, setStatus } from "./memberTable.js";
import type {
  Member,
  MembershipCommand,
  MembershipState,
  Probe,
} from "./types.js";

const smoothingFactor = 0.2;
const maxLocalHealthMultiplier = 4;

/** Lengthens timeouts while many of this router's own probes fail, since the fault may then be local (Lifeguard). */
const localHealthMultiplier = (state: MembershipState): number =>
  1 + (maxLocalHealthMultiplier - 1) * state.probeFailureRate;

/** Draws a pseudo-random number and advances the generator. */
const drawRandom = (state: MembershipState): number => {
  const drawn = nextRandom(state.generator);
  state.generator = drawn.state;
  return drawn.value;
};

const shuffle = (state: MembershipState, names: string[]): string[] => {
  for (let last = names.length - 1; last > 0; last -= 1) {
    const other = Math.floor(drawRandom(state) * (last + 1));
    const [a = "", b = ""] = [names[last], names[other]];
    names[last] = b;
    names[other] = a;
  }
  return names;
};

const probeTimeoutMs = (state: MembershipState, target: string): number => {
  const roundTripMs = state.members.get(target)?.roundTripMs ?? 0;
  const waitMs = Math.max(
    minProbeTimeoutMs,
    roundTripMs * probeTimeoutRoundTripCount,
  );
  return waitMs * localHealthMultiplier(state);
};

/** Sends a probe: a heartbeat that asks for an acknowledgement. */
export const sendProbe = (
  state: MembershipState,
  target: string,
  at: Timestamp,
  requestedBy?: Probe["requestedBy"],
): MembershipCommand => {
  const number = state.nextProbeNumber;
  state.nextProbeNumber += 1;
  const requester = requestedBy === undefined ? {} : { requestedBy };
  state.probes.set(number, {
    target,
    sentAt: at,
    deadline: at + probeTimeoutMs(state, target),
    isIndirect: requestedBy !== undefined,
    ...requester,
  });
  const message = composeGossip(state, { probe: number, hasDemand: true });
  return { type: "send", peer: target, message };
};

/** Probes the next connected routers, in shuffled round-robin order. */
export const sendHeartbeats = (
  state: MembershipState,
  at: Timestamp,
): MembershipCommand[] => {
  state.probeOrder = state.probeOrder.filter((peer) => state.links.has(peer));
  if (state.probeOrder.length < gossipFanOut) {
    const remaining = new Set(state.probeOrder);
    const others = [...state.links].filter((peer) => !remaining.has(peer));
    state.probeOrder.push(...shuffle(state, others));
  }
  const targets = state.probeOrder.splice(0, gossipFanOut);
  const jitter = 0.8 + 0.4 * drawRandom(state);
  state.nextGossipAt = at + gossipIntervalMs * jitter;
  return targets.map((target) => sendProbe(state, target, at));
};

/** Handles an acknowledgement; forwards it where the probe was sent for another router. */
export const handleAck = (
  state: MembershipState,
  number: number,
  at: Timestamp,
): MembershipCommand[] => {
  const probe = state.probes.get(number);
  if (probe === undefined) return [];
  state.probes.delete(number);
  state.probeFailureRate *= 1 - smoothingFactor;
  const member = state.members.get(probe.target);
  if (member !== undefined && !probe.isIndirect)
    member.roundTripMs +=
      smoothingFactor * (at - probe.sentAt - member.roundTripMs);
  if (probe.requestedBy === undefined) return [];
  const { router, probe: ack } = probe.requestedBy;
  const message = composeGossip(state, { ack, hasDemand: true });
  return [{ type: "send", peer: router, message }];
};

const requestIndirectProbes = (
  state: MembershipState,
  number: number,
  probe: Probe,
  at: Timestamp,
): MembershipCommand[] => {
  probe.isIndirect = true;
  probe.deadline = at + indirectProbeTimeoutMs * localHealthMultiplier(state);
  const others = [...state.links].filter((peer) => peer !== probe.target);
  return shuffle(state, others)
    .slice(0, indirectProbeCount)
    .map((peer) => ({
      type: "send" as const,
      peer,
      message: composeGossip(state, {
        probe: number,
        relayTo: probe.target,
      }),
    }));
};

/** Handles probes that timed out: first requests indirect probes, then suspects the router. */
export const expireProbes = (
  state: MembershipState,
  at: Timestamp,
): MembershipCommand[] => {
  const commands: MembershipCommand[] = [];
  for (const [number, probe] of state.probes) {
    if (probe.deadline > at) continue;
    if (!probe.isIndirect) {
      commands.push(...requestIndirectProbes(state, number, probe, at));
      continue;
    }
    state.probes.delete(number);
    if (probe.requestedBy !== undefined) continue;
    state.probeFailureRate += smoothingFactor * (1 - state.probeFailureRate);
    const member = state.members.get(probe.target);
    if (member?.record.status === MemberStatus.Alive)
      commands.push(...setStatus(state, member, MemberStatus.Suspect, at));
  }
  return commands;
};

const suspicionTimeoutMs = (state: MembershipState, member: Member): number => {
  const size = Math.max(10, countActiveMembers(state));
  const minTimeoutMs =
    minSuspicionTimeoutMs * Math.log10(size) * localHealthMultiplier(state);
  const confirmationCount = Math.min(
    confirmationCountForMinSuspicion,
    member.suspectedBy.size - 1,
  );
  const confirmedShare =
    Math.log(Math.max(0, confirmationCount) + 1) /
    Math.log(confirmationCountForMinSuspicion + 1);
  return (
    minTimeoutMs *
    (maxSuspicionFactor - (maxSuspicionFactor - 1) * confirmedShare)
  );
};

/** Marks routers dead that did not refute their suspicion in time. */
export const expireSuspicions = (
  state: MembershipState,
  at: Timestamp,
): MembershipCommand[] => {
  const commands: MembershipCommand[] = [];
  for (const member of state.members.values()) {
    if (member.record.status !== MemberStatus.Suspect) continue;
    if (at - member.statusChangedAt < suspicionTimeoutMs(state, member))
      continue;
    commands.push(...setStatus(state, member, MemberStatus.Dead, at));
  }
  return commands;
};

/** Extends every deadline by the time for which this process was paused. */
export const extendDeadlines = (state: MembershipState, byMs: number): void => {
  for (const probe of state.probes.values()) probe.deadline += byMs;
  for (const member of state.members.values())
    if (member.record.status === MemberStatus.Suspect)
      member.statusChangedAt += byMs;
};
