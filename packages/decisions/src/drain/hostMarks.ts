/** Hosts that the platform's list marks as leaving. */

import type { Moment } from "@cardamomglade/common";
import { HostStatus, type ListedHost } from "@cardamomglade/schema";

/** A host's mark by the list; kept for a while after the list last told it. */
export interface HostMark {
  readonly keptUntil: Moment;
  /** Undefined where the list names no moment. */
  readonly emptyBy: Moment | undefined;
}

/** Marks by host. */
export type HostMarks = ReadonlyMap<string, HostMark>;

const markKeptMs = 60_000;

const momentOf = (text: string | undefined): Moment | undefined => {
  const moment = Date.parse(text ?? "");
  return Number.isNaN(moment) ? undefined : moment;
};

/**
 * Folds one reading of the list. A mark outlives a list that flaps; a host that
 * is missing is not marked; marks of the intent are none of this function's.
 */
export const readHostMarks = (
  marks: HostMarks,
  hosts: readonly ListedHost[],
  at: Moment,
): HostMarks => {
  const kept = [...marks].filter(([, { keptUntil }]) => at < keptUntil);
  const told = hosts
    .filter(({ status }) => status === HostStatus.Leaving)
    .map(({ host, emptyBy }): [string, HostMark] => [
      host,
      { keptUntil: at + markKeptMs, emptyBy: momentOf(emptyBy) },
    ]);
  return new Map([...kept, ...told]);
};
