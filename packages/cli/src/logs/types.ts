/** Types of processes' log lines. */

/** One line that names a request. */
export interface LogLine {
  /** Milliseconds since the epoch, by the clock of the process that wrote it. */
  readonly at: number;
  readonly router: string;
  readonly message: string;
  /** What the line tells besides, in its order. */
  readonly details: readonly (readonly [string, string])[];
}
