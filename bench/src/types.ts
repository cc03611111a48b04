/** Shapes of experiments and their results. */

/** A bound that comes from a stated target. */
export type Bound =
  | { readonly type: "atMost"; readonly value: number }
  | { readonly type: "atLeast"; readonly value: number };

/** A point of a plot. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** Points behind a figure; series of one plot share its name and axes. */
export interface Series {
  readonly plot: string;
  readonly name: string;
  readonly xAxis: string;
  readonly yAxis: string;
  readonly points: readonly Point[];
}

/** One measured figure. */
export interface Row {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly bound?: Bound;
  readonly series?: Series;
}

/** Flags of a run. */
export interface ExperimentOptions {
  readonly seed: number;
}

/** One experiment: real processes over loopback, ended in under 50 s. */
export interface Experiment {
  readonly name: string;
  readonly description: string;
  run(options: ExperimentOptions): Promise<readonly Row[]>;
}

/** Rows of a run, as saved. */
export interface SavedResult {
  readonly name: string;
  readonly seed: number;
  /** ISO 8601 moment of the run's end. */
  readonly at: string;
  readonly rows: readonly Row[];
}
