/** Types of parsed log lines. */

/** A log line that belongs to a request. */
export interface LogLine {
  /** Milliseconds since the epoch, by the clock of the process that wrote it. */
  readonly at: number;
  readonly router: string;
  readonly message: string;
  /** The remaining context fields, in the order of the log line. */
  readonly fields: readonly (readonly [string, string])[];
}
