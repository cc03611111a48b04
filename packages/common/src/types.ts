/** Types shared by every package. */

/** Milliseconds since the epoch. */
export type Timestamp = number;

/** A success value or a typed error. */
export type Result<T, E> =
  | { readonly type: "ok"; readonly value: T }
  | { readonly type: "err"; readonly error: E };

/** Result of reducing one event: the new state and the commands to perform. */
export interface Transition<S, C> {
  readonly state: S;
  readonly commands: readonly C[];
}

/** Whether a request was executed, as reported to its caller. */
export enum RequestExecuted {
  No = "no",
  Unknown = "unknown",
  Yes = "yes",
}
