/** Caller library. */

export {};
