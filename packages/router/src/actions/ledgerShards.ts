/** Ledger shards held by this router. */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import {
  createShard,
  decideShard,
  shardOfRole,
  type ClaimOutcome,
  type LeaseCommand,
  type ShardCommand,
  type ShardEvent,
  type ShardState,
} from "@cardamomglade/decisions";
import { ClaimVerdict, type PeerMessage } from "@cardamomglade/schema";
import type { RouterCommand, RouterState } from "../types.js";

const shardReadTimeoutMs = 3000;

const verdicts: Readonly<Record<ClaimOutcome["type"], ClaimVerdict>> = {
  run: ClaimVerdict.Run,
  repeat: ClaimVerdict.Repeat,
  conflict: ClaimVerdict.Conflict,
  unknown: ClaimVerdict.Unknown,
  notRun: ClaimVerdict.NotRun,
  moved: ClaimVerdict.Moved,
};

/** Sends a message to a router; a message to this router itself is delivered locally. */
export const sendMessage = (
  { router }: RouterState,
  peer: string,
  message: PeerMessage,
): RouterCommand =>
  peer === router.name
    ? { type: "sendToSelf", message }
    : { type: "sendToPeer", peer, message };

const claimAnswerOf = ({
  requestId,
  outcome,
}: Extract<ShardCommand, { type: "answerClaim" }>): PeerMessage => ({
  type: "claimAnswer",
  request: requestId,
  verdict: verdicts[outcome.type],
  ...(outcome.type === "repeat" ? { answer: outcome.answer } : {}),
});

const toRouterCommand = (
  state: RouterState,
  { shard, lease: { fencing } }: ShardState,
  command: ShardCommand,
  at: Timestamp,
): RouterCommand => {
  switch (command.type) {
    case "readShard":
      return {
        type: "readShard",
        shard,
        fencing,
        deadline: at + shardReadTimeoutMs,
      };
    case "commit": {
      const { commit, deadline } = command;
      return { type: "commitShard", shard, fencing, commit, deadline };
    }
    case "answerClaim":
      return sendMessage(state, command.origin, claimAnswerOf(command));
    case "confirmEnd":
      return sendMessage(state, command.origin, {
        type: "endConfirmation",
        request: command.requestId,
      });
    case "wake":
      return { type: "wakeShard", shard, fencing, wakeAt: command.at };
    default:
      return assertNever(command);
  }
};

/** Applies an event to a held shard; the shard is removed when its lease has ended. */
export const stepShard = (
  state: RouterState,
  shard: ShardState,
  event: ShardEvent,
): RouterCommand[] => {
  const { commands } = decideShard(shard, event);
  if (shard.isTermOver) state.ledger.shards.delete(shard.shard);
  return commands.map((command) =>
    toRouterCommand(state, shard, command, event.at),
  );
};

/** Opens, extends or ends a shard when its lease changes. */
export const applyLeaseChange = (
  state: RouterState,
  role: string,
  change: Exclude<LeaseCommand, { type: "call" }>,
  at: Timestamp,
): RouterCommand[] => {
  const shardNumber = shardOfRole(role);
  if (shardNumber === undefined) return [];
  const { shards, limits } = state.ledger;
  const held = shards.get(shardNumber);
  switch (change.type) {
    case "acquired": {
      const shard = createShard(shardNumber, change.lease, limits, at);
      shards.set(shardNumber, shard);
      return stepShard(state, shard, { type: "timerTicked", at });
    }
    case "extended": {
      const { lease } = change;
      return held === undefined
        ? []
        : stepShard(state, held, { type: "extended", at, lease });
    }
    case "lost":
      return held === undefined
        ? []
        : stepShard(state, held, { type: "ended", at });
    default:
      return assertNever(change);
  }
};

/** Passes the timer tick to all held shards. */
export const tickShards = (
  state: RouterState,
  at: Timestamp,
): RouterCommand[] =>
  [...state.ledger.shards.values()].flatMap((shard) =>
    stepShard(state, shard, { type: "timerTicked", at }),
  );
