/** Types for the validation of intents. */

/** A problem found in an intent, located by a JSON pointer. */
export interface IntentProblem {
  readonly pointer: string;
  readonly message: string;
}

/** Identifies weights by model, version and adapter. */
export interface WeightId {
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
}
