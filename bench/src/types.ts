/** Shapes of experiments and their results. */

/** A bound that comes from a stated target. */
export type Bound =
  | { readonly type: "atMost"; readonly value: number }
  | { readonly type: "atLeast"; readonly value: number };

/** One measured figure. */
export interface Row {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  readonly bound?: Bound;
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
