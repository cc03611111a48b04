/** Types of experiments and of their results. */

/** Acceptance limit of a measured value, taken from a stated target. */
export type Bound =
  | { readonly type: "atMost"; readonly value: number }
  | { readonly type: "atLeast"; readonly value: number };

/** One point of a plot. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** Data points of one curve; the series of a plot share the plot's name and its axes. */
export interface Series {
  readonly plot: string;
  readonly name: string;
  readonly xAxis: string;
  readonly yAxis: string;
  readonly points: readonly Point[];
}

/** One measured value. */
export interface Row {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly bound?: Bound;
  readonly series?: Series;
}

/** Options of a run. */
export interface ExperimentOptions {
  readonly seed: number;
}

/** An experiment: starts real processes that talk over loopback, and finishes in under 50 s. */
export interface Experiment {
  readonly name: string;
  readonly description: string;
  run(options: ExperimentOptions): Promise<readonly Row[]>;
}

/** Result of a run as stored in a file. */
export interface SavedResult {
  readonly name: string;
  readonly seed: number;
  /** Time at which the run ended, in ISO 8601. */
  readonly at: string;
  readonly rows: readonly Row[];
}
