/** Determines the result of a failed compare-and-swap of the configuration. */

import type { AcceptedConfig } from "./types.js";

/** Records read from the store after a compare-and-swap failed. */
export interface CommitReads {
  readonly current: AcceptedConfig | undefined;
  /** The record in the history at the revision that the change would have created. */
  readonly written: AcceptedConfig | undefined;
}

/** Whether a change is in the history; `raced` means that it was not and never will be committed. */
export type CommitResult =
  | { readonly type: "committed"; readonly revision: number }
  | { readonly type: "raced"; readonly current: AcceptedConfig | undefined };

/** Looks up a change by its ID, so that a change whose response was lost is not written twice. */
export const resolveCommit = (
  changeId: string,
  { current, written }: CommitReads,
): CommitResult => {
  const found = [written, current].find(
    (record) => record?.change?.changeId === changeId,
  );
  return found === undefined
    ? { type: "raced", current }
    : { type: "committed", revision: found.revision };
};
