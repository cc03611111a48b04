/** Types of intent checks. */

/** One thing wrong in an intent, by JSON pointer. */
export interface IntentFault {
  readonly pointer: string;
  readonly message: string;
}

/** Weights by model, version and adapter. */
export interface WeightName {
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
}
