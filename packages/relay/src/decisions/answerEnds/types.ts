/** Types for answers that ended with their connection. */

import type { Timestamp } from "@cardamomglade/common";
import type { BufferedResponse } from "../types.js";

/** What a replica says about an answer that ended with its connection. */
export enum EndEvidence {
  /** Its process runs, and does not go on with the request. */
  Whole = "whole",
  /** Its process has ended, or goes on with the request. */
  CutOff = "cutOff",
  /** It gave no answer from which either follows. */
  None = "none",
}

/** The end of an answer that its replica is asked about. */
export interface UnconfirmedEnd {
  readonly endedAt: Timestamp;
  /** The end counts without evidence from then on. */
  readonly until: Timestamp;
  /** The answer; undefined for a stream. */
  readonly answer: BufferedResponse | undefined;
}
