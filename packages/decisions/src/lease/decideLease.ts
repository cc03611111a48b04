/** State machine that acquires, renews and releases a role through a lease in the key-value service. */

import {
  assertNever,
  nextRandom,
  nextRetryAt,
  type Timestamp,
  type Transition,
} from "@cardamomglade/common";
import type {
  LeaseCall,
  LeaseCommand,
  LeaseEvent,
  LeasePhase,
  LeaseState,
} from "./types.js";

type LeaseStep = Transition<LeaseState, LeaseCommand>;
type EventOf<T extends LeaseEvent["type"]> = Extract<LeaseEvent, { type: T }>;

/** Share of the TTL by which the holder's own deadline precedes the service's. */
const expiryMarginRatio = 0.1;
const renewalIntervalRatio = 1 / 3;
const renewalRetryRatio = 1 / 10;
/**
 * Delay, in TTLs, before the next attempt where another router holds the role.
 * A release by that router is usually noticed earlier, through the watch.
 */
const acquireRetryTtlCount = 6;
const backoffLimits = { baseMs: 100, maxMs: 5000 };

/** Time before the service's deadline at which the holder stops acting. */
const expiryMarginMsOf = (ttlMs: number): number => ttlMs * expiryMarginRatio;

const withoutCommands = (state: LeaseState): LeaseStep => ({
  state,
  commands: [],
});

const callCommandOf = (one: LeaseCall): LeaseCommand => ({
  type: "call",
  call: one,
});

const withPhase = (state: LeaseState, phase: LeasePhase): LeaseState => ({
  ...state,
  phase,
});

const revokeCommandOf = (
  leaseId: string,
  at: Timestamp,
  { ttlMs }: LeaseState,
): LeaseCommand =>
  callCommandOf({ type: "revoke", leaseId, deadline: at + ttlMs });

// Schedules the next attempt after an exponential backoff with jitter.
const backOff = (state: LeaseState, at: Timestamp): LeaseState => {
  const { value, state: generator } = nextRandom(state.generator);
  const tryAt = nextRetryAt(at, state.failures, backoffLimits, value);
  const failures = state.failures + 1;
  return { ...state, generator, failures, phase: { type: "idle", tryAt } };
};

// Ends the term. The holder has no effects left to run, so the lease can be revoked at once.
const loseLease = (
  state: LeaseState,
  leaseId: string,
  at: Timestamp,
): LeaseStep => ({
  state: backOff(state, at),
  commands: [{ type: "lost" }, revokeCommandOf(leaseId, at, state)],
});

const requestGrant = (state: LeaseState, at: Timestamp): LeaseStep => {
  const { ttlMs } = state;
  const grant = { type: "grant" as const, sentAt: at, ttlMs };
  return {
    state: withPhase(state, { type: "granting", sentAt: at }),
    commands: [callCommandOf({ ...grant, deadline: at + ttlMs })],
  };
};

const sendAcquire = (
  state: LeaseState,
  phase: Extract<LeasePhase, { type: "acquiring" }>,
  at: Timestamp,
): LeaseStep => {
  const { leaseId, heldUntil } = phase;
  const { holder } = state;
  const acquire = { type: "acquire" as const, sentAt: at, leaseId, holder };
  return {
    state: withPhase(state, { ...phase, sentAt: at }),
    commands: [callCommandOf({ ...acquire, deadline: heldUntil })],
  };
};

const sendRenewal = (
  state: LeaseState,
  phase: Extract<LeasePhase, { type: "held" }>,
  at: Timestamp,
): LeaseStep => {
  const { leaseId, heldUntil } = phase;
  const sentAt = at;
  // The timeout is short enough to retry a lost renewal before the lease expires.
  const deadline = Math.min(heldUntil, at + state.ttlMs * renewalIntervalRatio);
  return {
    state: withPhase(state, { ...phase, sentAt }),
    commands: [callCommandOf({ type: "renew", sentAt, leaseId, deadline })],
  };
};

const handleGranted = (
  state: LeaseState,
  event: EventOf<"granted">,
): LeaseStep => {
  const { phase } = state;
  const { at, sentAt, leaseId, ttlMs } = event;
  const isCurrent = phase.type === "granting" && phase.sentAt === sentAt;
  if (!isCurrent || !state.isWanted) {
    const commands = [revokeCommandOf(leaseId, at, state)];
    return { state: isCurrent ? backOff(state, at) : state, commands };
  }
  const heldUntil = sentAt + ttlMs - expiryMarginMsOf(ttlMs);
  const acquiringPhase = {
    type: "acquiring" as const,
    leaseId,
    heldUntil,
    sentAt: undefined,
    tryAt: at,
  };
  if (at < heldUntil) return sendAcquire(state, acquiringPhase, at);
  return {
    state: backOff(state, at),
    commands: [revokeCommandOf(leaseId, at, state)],
  };
};

const handleAcquireAnswered = (
  state: LeaseState,
  { at, sentAt, found }: EventOf<"acquireAnswered">,
): LeaseStep => {
  const { phase, role } = state;
  if (phase.type !== "acquiring" || phase.sentAt !== sentAt)
    return withoutCommands(state);
  const { leaseId, heldUntil } = phase;
  if (found?.leaseId !== leaseId) {
    const tryAt = at + state.ttlMs * acquireRetryTtlCount;
    const idle = withPhase(state, { type: "idle", tryAt });
    return { state: idle, commands: [revokeCommandOf(leaseId, at, state)] };
  }
  const fencing = found.createRevision;
  const renewAt =
    heldUntil - state.ttlMs * (1 - renewalIntervalRatio - expiryMarginRatio);
  const heldPhase = {
    type: "held" as const,
    leaseId,
    fencing,
    heldUntil,
    sentAt: undefined,
    renewAt,
  };
  const lease = { role, fencing, heldUntil };
  return {
    state: { ...state, failures: 0, phase: heldPhase },
    commands: [{ type: "acquired", lease }],
  };
};

const handleAcquireFailed = (
  state: LeaseState,
  { at, sentAt }: EventOf<"acquireFailed">,
): LeaseStep => {
  const { phase } = state;
  if (phase.type !== "acquiring" || phase.sentAt !== sentAt)
    return withoutCommands(state);
  const { value, state: generator } = nextRandom(state.generator);
  const tryAt = nextRetryAt(at, state.failures, backoffLimits, value);
  const failures = state.failures + 1;
  const waiting = { ...phase, sentAt: undefined, tryAt };
  return withoutCommands({ ...state, generator, failures, phase: waiting });
};

const handleRenewed = (
  state: LeaseState,
  { at, sentAt, ttlMs }: EventOf<"renewed">,
): LeaseStep => {
  const { phase, role } = state;
  if (phase.type !== "held" || phase.sentAt !== sentAt)
    return withoutCommands(state);
  if (ttlMs <= 0) return loseLease(state, phase.leaseId, at);
  const until = sentAt + ttlMs - expiryMarginMsOf(ttlMs);
  const heldUntil = Math.max(phase.heldUntil, until);
  const renewAt = sentAt + ttlMs * renewalIntervalRatio;
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

const handleRenewFailed = (
  state: LeaseState,
  { at, sentAt }: EventOf<"renewFailed">,
): LeaseStep => {
  const { phase } = state;
  if (phase.type !== "held" || phase.sentAt !== sentAt)
    return withoutCommands(state);
  const renewAt = at + state.ttlMs * renewalRetryRatio;
  return withoutCommands(
    withPhase(state, { ...phase, sentAt: undefined, renewAt }),
  );
};

const handleTimerTicked = (state: LeaseState, at: Timestamp): LeaseStep => {
  const { phase } = state;
  switch (phase.type) {
    case "idle":
      return state.isWanted && at >= phase.tryAt
        ? requestGrant(state, at)
        : withoutCommands(state);
    case "granting":
      return at > phase.sentAt + state.ttlMs
        ? withoutCommands(backOff(state, at))
        : withoutCommands(state);
    case "acquiring":
      return phase.sentAt === undefined && at >= phase.tryAt
        ? sendAcquire(state, phase, at)
        : withoutCommands(state);
    case "held":
      return phase.sentAt === undefined && at >= phase.renewAt
        ? sendRenewal(state, phase, at)
        : withoutCommands(state);
    default:
      return assertNever(phase);
  }
};

const handleUnwanted = (state: LeaseState, at: Timestamp): LeaseStep => {
  const { phase } = state;
  const idle: LeaseState = {
    ...state,
    isWanted: false,
    phase: { type: "idle", tryAt: at },
  };
  if (phase.type === "held")
    return {
      state: idle,
      commands: [{ type: "lost" }, revokeCommandOf(phase.leaseId, at, state)],
    };
  if (phase.type === "acquiring")
    return {
      state: idle,
      commands: [revokeCommandOf(phase.leaseId, at, state)],
    };
  return withoutCommands(idle);
};

const handleWanted = (
  state: LeaseState,
  { at, tryAt }: EventOf<"wanted">,
): LeaseStep => {
  const { phase } = state;
  const wantedState = { ...state, isWanted: true };
  if (phase.type !== "idle") return withoutCommands(wantedState);
  const idle = withPhase(wantedState, { type: "idle", tryAt });
  return at >= tryAt ? requestGrant(idle, at) : withoutCommands(idle);
};

const applyEvent = (state: LeaseState, event: LeaseEvent): LeaseStep => {
  switch (event.type) {
    case "wanted":
      return handleWanted(state, event);
    case "unwanted":
      return handleUnwanted(state, event.at);
    case "granted":
      return handleGranted(state, event);
    case "grantFailed":
      return state.phase.type === "granting" &&
        state.phase.sentAt === event.sentAt
        ? withoutCommands(backOff(state, event.at))
        : withoutCommands(state);
    case "acquireAnswered":
      return handleAcquireAnswered(state, event);
    case "acquireFailed":
      return handleAcquireFailed(state, event);
    case "renewed":
      return handleRenewed(state, event);
    case "renewFailed":
      return handleRenewFailed(state, event);
    case "timerTicked":
      return handleTimerTicked(state, event.at);
    default:
      return assertNever(event);
  }
};

// A holder that was paused past its deadline loses the lease before it handles the event.
const expireLease = (state: LeaseState, at: Timestamp): LeaseStep => {
  const { phase } = state;
  if (phase.type === "held" && at >= phase.heldUntil)
    return loseLease(state, phase.leaseId, at);
  if (phase.type === "acquiring" && at >= phase.heldUntil)
    return {
      state: backOff(state, at),
      commands: [revokeCommandOf(phase.leaseId, at, state)],
    };
  return withoutCommands(state);
};

/** Applies one event. Expiry is checked first, so that a late answer cannot revive an expired lease. */
export const decideLease = (
  state: LeaseState,
  event: LeaseEvent,
): LeaseStep => {
  const expired = expireLease(state, event.at);
  const step = applyEvent(expired.state, event);
  return {
    state: step.state,
    commands: [...expired.commands, ...step.commands],
  };
};
