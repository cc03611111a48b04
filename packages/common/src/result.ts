/** Constructors of results. */

import type { Result } from "./types.js";

/** Wraps a value. */
export const ok = <T>(value: T): Result<T, never> => ({ type: "ok", value });

/** Wraps a typed error. */
export const err = <E>(error: E): Result<never, E> => ({ type: "err", error });
