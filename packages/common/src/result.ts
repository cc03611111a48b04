/** Constructors of `Result`. */

import type { Result } from "./types.js";

/** Wraps a value as a success. */
export const ok = <T>(value: T): Result<T, never> => ({ type: "ok", value });

/** Wraps a typed error as a failure. */
export const err = <E>(error: E): Result<never, E> => ({ type: "err", error });
