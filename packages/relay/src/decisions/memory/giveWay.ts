/**
 * Decides what gives way when memory is short. Load pattern: callers that stop sending or
 * reading, and replicas that send without an end, beside sound requests.
 */

import { assertNever, type Timestamp } from "@cardamomglade/common";
import { minEndlessBytes } from "./constants.js";
import type { CountedBytes } from "./countBytes.js";
import { Holder, type HeldBytes } from "./types.js";

/** Order in which holders give way. */
enum Rank {
  /** It gives only room that it does not use yet, and may take it again. */
  IdleReservation,
  StalledCaller,
  StalledBody,
  BodyWithoutLength,
  AnswerWithoutLength,
}

/** Whether room is kept free for an answer whose replica sends nothing. */
export const isIdleReservation = (
  { holder, reservedBytes, progressBy }: HeldBytes,
  at: Timestamp,
): boolean =>
  holder === Holder.ArrivingAnswer && reservedBytes > 0 && at > progressBy;

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
      if (isIdleReservation(held, at)) return Rank.IdleReservation;
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

interface Ranked<T> {
  readonly held: T;
  readonly rank: Rank;
}

/** Callers that have not read for longest go first, and the largest of everything else. */
const compareRanked = (
  one: Ranked<HeldBytes>,
  other: Ranked<HeldBytes>,
): number => {
  if (one.rank !== other.rank) return one.rank - other.rank;
  const isCaller = one.rank === Rank.StalledCaller;
  const waitedMs = isCaller ? one.held.progressBy - other.held.progressBy : 0;
  return waitedMs === 0 ? other.held.bytes - one.held.bytes : waitedMs;
};

const rankedFor = <T extends HeldBytes>(
  all: Iterable<T>,
  needing: T,
  at: Timestamp,
): Ranked<T>[] => {
  const lastRank = lastRankFor(needing);
  const ranked: Ranked<T>[] = [];
  for (const held of all) {
    const rank = held.bytes > 0 ? rankOf(held, at) : undefined;
    if (rank !== undefined && rank <= lastRank) ranked.push({ held, rank });
  }
  return ranked;
};

/** What a holding counts once it has given way. */
export const afterGivingWay = (
  held: HeldBytes,
  at: Timestamp,
): CountedBytes => {
  const { holder, bytes, reservedBytes } = held;
  const isKept = isIdleReservation(held, at);
  return { holder, bytes: isKept ? bytes - reservedBytes : 0 };
};

/** Returns all that may give way to another holding, in order. */
export const givingWayInOrder = <T extends HeldBytes>(
  all: Iterable<T>,
  needing: T,
  at: Timestamp,
): T[] =>
  rankedFor(all, needing, at)
    .filter(({ held }) => held !== needing)
    .sort(compareRanked)
    .map(({ held }) => held);

/** Whether it helps to give a holding up. */
export type Helps = (held: HeldBytes) => boolean;

const always: Helps = () => true;

/** Returns what gives way first to a holding that needs room; it may be the holding itself. */
export const chooseGivingWay = <T extends HeldBytes>(
  all: Iterable<T>,
  needing: T,
  at: Timestamp,
  helps = always,
): T | undefined => {
  let first: Ranked<T> | undefined;
  for (const ranked of rankedFor(all, needing, at)) {
    if (!helps(ranked.held)) continue;
    if (first === undefined || compareRanked(ranked, first) < 0) first = ranked;
  }
  return first?.held;
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
