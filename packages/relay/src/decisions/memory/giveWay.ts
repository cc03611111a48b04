/**
 * Decides what gives way when memory is short. Load pattern: callers that stop sending or
 * reading, and replicas that send without an end, beside sound requests.
 */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import { minEndlessBytes } from "./constants.js";
import { Holder, type HeldBytes } from "./types.js";

/** Order in which holders give way. */
enum Rank {
  StalledCaller,
  StalledBody,
  BodyWithoutLength,
  AnswerWithoutLength,
}

const rankOf = (held: HeldBytes, at: Timestamp): Rank | undefined => {
  const { holder, bytes, isSized, progressBy } = held;
  const mayBeEndless = !isSized && bytes >= minEndlessBytes;
  switch (holder) {
    case Holder.UnreadAnswer:
      return at > progressBy ? Rank.StalledCaller : undefined;
    case Holder.ReadingRequest:
      if (at > progressBy) return Rank.StalledBody;
      return mayBeEndless ? Rank.BodyWithoutLength : undefined;
    case Holder.ArrivingAnswer:
      return mayBeEndless ? Rank.AnswerWithoutLength : undefined;
    case Holder.WaitingRequest:
    case Holder.KeptRequest:
    case Holder.WaitingAnswer:
      return undefined;
    default:
      return assertNever(holder);
  }
};

/** The last rank that gives way to a holder. */
const lastRankFor = ({ holder, isSized }: HeldBytes): Rank => {
  switch (holder) {
    case Holder.WaitingRequest:
    case Holder.ReadingRequest:
    case Holder.KeptRequest:
      return isSized ? Rank.BodyWithoutLength : Rank.StalledBody;
    case Holder.WaitingAnswer:
    case Holder.ArrivingAnswer:
    case Holder.UnreadAnswer:
      return Rank.AnswerWithoutLength;
    default:
      return assertNever(holder);
  }
};

const isEarlier = (
  { bytes }: HeldBytes,
  rank: Rank,
  chosen: { readonly held: HeldBytes; readonly rank: Rank },
): boolean =>
  rank === chosen.rank ? bytes > chosen.held.bytes : rank < chosen.rank;

/** Whether it helps to give a holding up. */
export type Helps = (held: HeldBytes) => boolean;

const always: Helps = () => true;

/** Returns what gives way to a holder that needs room: the first rank, and the largest in it. */
export const chooseGivingWay = <T extends HeldBytes>(
  all: Iterable<T>,
  needing: T,
  at: Timestamp,
  helps = always,
): T | undefined => {
  const lastRank = lastRankFor(needing);
  let chosen: { readonly held: T; readonly rank: Rank } | undefined;
  for (const held of all) {
    const rank = rankOf(held, at);
    if (rank === undefined || rank > lastRank || !helps(held)) continue;
    if (chosen === undefined || isEarlier(held, rank, chosen))
      chosen = { held, rank };
  }
  return chosen?.held;
};

/** Returns what gives way to bytes that have arrived already: the largest of their kind. */
export const chooseLargest = <T extends HeldBytes>(
  all: Iterable<T>,
  { holder }: T,
  helps = always,
): T | undefined => {
  let largest: T | undefined;
  for (const held of all) {
    if (held.holder !== holder || !helps(held)) continue;
    if (held.bytes > (largest?.bytes ?? -1)) largest = held;
  }
  return largest;
};
