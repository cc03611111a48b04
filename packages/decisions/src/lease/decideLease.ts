/** Acquires, keeps and gives up a role through a lease of the key-value service. */

import {
  assertNever,
  draw,
  nextTryAt,
  type Moment,
  type Step,
} from "@cardamomglade/common";
import type {
  LeaseCall,
  LeaseCommand,
  LeaseEvent,
  LeasePhase,
  LeaseState,
} from "./types.js";

type LeaseStep = Step<LeaseState, LeaseCommand>;
type EventOf<T extends LeaseEvent["type"]> = Extract<LeaseEvent, { type: T }>;

const marginShare = 0.1;
const renewShare = 1 / 3;
const renewRetryShare = 1 / 10;
const backoff = { baseMs: 100, maxMs: 5000 };

/** Time by which a holder stops before the service's own deadline. */
const marginOf = (ttlMs: number): number => ttlMs * marginShare;

const none = (state: LeaseState): LeaseStep => ({ state, commands: [] });

const call = (one: LeaseCall): LeaseCommand => ({ type: "call", call: one });

const withPhase = (state: LeaseState, phase: LeasePhase): LeaseState => ({
  ...state,
  phase,
});

const revoke = (
  leaseId: string,
  at: Moment,
  { ttlMs }: LeaseState,
): LeaseCommand => call({ type: "revoke", leaseId, deadline: at + ttlMs });

// Tries again after a jittered delay that grows with each failure.
const backOff = (state: LeaseState, at: Moment): LeaseState => {
  const { value, state: generator } = draw(state.generator);
  const tryAt = nextTryAt(at, state.failures, backoff, value);
  const failures = state.failures + 1;
  return { ...state, generator, failures, phase: { type: "idle", tryAt } };
};

// Ends a term: no effect may follow, so the service may forget the lease at once.
const endTerm = (
  state: LeaseState,
  leaseId: string,
  at: Moment,
): LeaseStep => ({
  state: backOff(state, at),
  commands: [{ type: "lost" }, revoke(leaseId, at, state)],
});

const sendGrant = (state: LeaseState, at: Moment): LeaseStep => {
  const { ttlMs } = state;
  const grant = { type: "grant" as const, sentAt: at, ttlMs };
  return {
    state: withPhase(state, { type: "granting", sentAt: at }),
    commands: [call({ ...grant, deadline: at + ttlMs })],
  };
};

const sendClaim = (
  state: LeaseState,
  phase: Extract<LeasePhase, { type: "claiming" }>,
  at: Moment,
): LeaseStep => {
  const { leaseId, heldUntil } = phase;
  const { holder } = state;
  const claim = { type: "claim" as const, sentAt: at, leaseId, holder };
  return {
    state: withPhase(state, { ...phase, sentAt: at }),
    commands: [call({ ...claim, deadline: heldUntil })],
  };
};

const sendRenewal = (
  state: LeaseState,
  phase: Extract<LeasePhase, { type: "held" }>,
  at: Moment,
): LeaseStep => {
  const { leaseId, heldUntil } = phase;
  const sentAt = at;
  // Short enough that a lost renewal can be tried again within the term.
  const deadline = Math.min(heldUntil, at + state.ttlMs * renewShare);
  return {
    state: withPhase(state, { ...phase, sentAt }),
    commands: [call({ type: "renew", sentAt, leaseId, deadline })],
  };
};

const granted = (state: LeaseState, event: EventOf<"granted">): LeaseStep => {
  const { phase } = state;
  const { at, sentAt, leaseId, ttlMs } = event;
  const isCurrent = phase.type === "granting" && phase.sentAt === sentAt;
  if (!isCurrent || !state.isWanted) {
    const commands = [revoke(leaseId, at, state)];
    return { state: isCurrent ? backOff(state, at) : state, commands };
  }
  const heldUntil = sentAt + ttlMs - marginOf(ttlMs);
  const claiming = {
    type: "claiming" as const,
    leaseId,
    heldUntil,
    sentAt: undefined,
    tryAt: at,
  };
  if (at < heldUntil) return sendClaim(state, claiming, at);
  return { state: backOff(state, at), commands: [revoke(leaseId, at, state)] };
};

const claimAnswered = (
  state: LeaseState,
  { at, sentAt, found }: EventOf<"claimAnswered">,
): LeaseStep => {
  const { phase, role } = state;
  if (phase.type !== "claiming" || phase.sentAt !== sentAt) return none(state);
  const { leaseId, heldUntil } = phase;
  if (found?.leaseId !== leaseId) {
    const tryAt = at + state.ttlMs;
    const idle = withPhase(state, { type: "idle", tryAt });
    return { state: idle, commands: [revoke(leaseId, at, state)] };
  }
  const fencing = found.createRevision;
  const renewAt = heldUntil - state.ttlMs * (1 - renewShare - marginShare);
  const held = {
    type: "held" as const,
    leaseId,
    fencing,
    heldUntil,
    sentAt: undefined,
    renewAt,
  };
  const lease = { role, fencing, heldUntil };
  return {
    state: { ...state, failures: 0, phase: held },
    commands: [{ type: "acquired", lease }],
  };
};

const claimFailed = (
  state: LeaseState,
  { at, sentAt }: EventOf<"claimFailed">,
): LeaseStep => {
  const { phase } = state;
  if (phase.type !== "claiming" || phase.sentAt !== sentAt) return none(state);
  const { value, state: generator } = draw(state.generator);
  const tryAt = nextTryAt(at, state.failures, backoff, value);
  const failures = state.failures + 1;
  const waiting = { ...phase, sentAt: undefined, tryAt };
  return none({ ...state, generator, failures, phase: waiting });
};

const renewed = (
  state: LeaseState,
  { at, sentAt, ttlMs }: EventOf<"renewed">,
): LeaseStep => {
  const { phase, role } = state;
  if (phase.type !== "held" || phase.sentAt !== sentAt) return none(state);
  if (ttlMs <= 0) return endTerm(state, phase.leaseId, at);
  const until = sentAt + ttlMs - marginOf(ttlMs);
  const heldUntil = Math.max(phase.heldUntil, until);
  const renewAt = sentAt + ttlMs * renewShare;
  const { fencing } = phase;
  return {
    state: withPhase(state, {
      ...phase,
      heldUntil,
      sentAt: undefined,
      renewAt,
    }),
    commands: [{ type: "extended", lease: { role, fencing, heldUntil } }],
  };
};

const renewFailed = (
  state: LeaseState,
  { at, sentAt }: EventOf<"renewFailed">,
): LeaseStep => {
  const { phase } = state;
  if (phase.type !== "held" || phase.sentAt !== sentAt) return none(state);
  const renewAt = at + state.ttlMs * renewRetryShare;
  return none(withPhase(state, { ...phase, sentAt: undefined, renewAt }));
};

const timePassed = (state: LeaseState, at: Moment): LeaseStep => {
  const { phase } = state;
  switch (phase.type) {
    case "idle":
      return state.isWanted && at >= phase.tryAt
        ? sendGrant(state, at)
        : none(state);
    case "granting":
      return at > phase.sentAt + state.ttlMs
        ? none(backOff(state, at))
        : none(state);
    case "claiming":
      return phase.sentAt === undefined && at >= phase.tryAt
        ? sendClaim(state, phase, at)
        : none(state);
    case "held":
      return phase.sentAt === undefined && at >= phase.renewAt
        ? sendRenewal(state, phase, at)
        : none(state);
    default:
      return assertNever(phase);
  }
};

const unwanted = (state: LeaseState, at: Moment): LeaseStep => {
  const { phase } = state;
  const idle: LeaseState = {
    ...state,
    isWanted: false,
    phase: { type: "idle", tryAt: at },
  };
  if (phase.type === "held")
    return {
      state: idle,
      commands: [{ type: "lost" }, revoke(phase.leaseId, at, state)],
    };
  if (phase.type === "claiming")
    return { state: idle, commands: [revoke(phase.leaseId, at, state)] };
  return none(idle);
};

const wanted = (
  state: LeaseState,
  { at, tryAt }: EventOf<"wanted">,
): LeaseStep => {
  const { phase } = state;
  const asked = { ...state, isWanted: true };
  if (phase.type !== "idle") return none(asked);
  const idle = withPhase(asked, { type: "idle", tryAt });
  return at >= tryAt ? sendGrant(idle, at) : none(idle);
};

const fold = (state: LeaseState, event: LeaseEvent): LeaseStep => {
  switch (event.type) {
    case "wanted":
      return wanted(state, event);
    case "unwanted":
      return unwanted(state, event.at);
    case "granted":
      return granted(state, event);
    case "grantFailed":
      return state.phase.type === "granting" &&
        state.phase.sentAt === event.sentAt
        ? none(backOff(state, event.at))
        : none(state);
    case "claimAnswered":
      return claimAnswered(state, event);
    case "claimFailed":
      return claimFailed(state, event);
    case "renewed":
      return renewed(state, event);
    case "renewFailed":
      return renewFailed(state, event);
    case "timePassed":
      return timePassed(state, event.at);
    default:
      return assertNever(event);
  }
};

// A holder that was paused past its deadline finds its term over first.
const expire = (state: LeaseState, at: Moment): LeaseStep => {
  const { phase } = state;
  if (phase.type === "held" && at >= phase.heldUntil)
    return endTerm(state, phase.leaseId, at);
  if (phase.type === "claiming" && at >= phase.heldUntil)
    return {
      state: backOff(state, at),
      commands: [revoke(phase.leaseId, at, state)],
    };
  return none(state);
};

/** Folds one event; time that has run out is looked at before anything else. */
export const decideLease = (
  state: LeaseState,
  event: LeaseEvent,
): LeaseStep => {
  const expired = expire(state, event.at);
  const step = fold(expired.state, event);
  return {
    state: step.state,
    commands: [...expired.commands, ...step.commands],
  };
};
