/** What a refused compare-and-swap of the configuration means. */

import type { AcceptedConfig } from "./types.js";

/** What the store holds after a compare-and-swap failed. */
export interface CommitReads {
  readonly current: AcceptedConfig | undefined;
  /** The record in the history at the revision that was to be written. */
  readonly written: AcceptedConfig | undefined;
}

/** Whether a change is in the history; `raced` is proof that it never will be. */
export type CommitVerdict =
  | { readonly type: "committed"; readonly revision: number }
  | { readonly type: "raced"; readonly current: AcceptedConfig | undefined };

/** Finds a change whose answer was lost by its id; a change is never written twice. */
export const judgeCommit = (
  changeId: string,
  { current, written }: CommitReads,
): CommitVerdict => {
  const found = [written, current].find(
    (record) => record?.change?.changeId === changeId,
  );
  return found === undefined
    ? { type: "raced", current }
    : { type: "committed", revision: found.revision };
};
