/** Checks of values that other programs sent. */

/** Most bytes of a datagram: it fits one packet on every usual link. */
export const maxDatagramBytes = 1200;

const maxNameLength = 200; // maximum length of a key in the store

/** Whether a value is a name of limited length. */
export const isName = (value: unknown): value is string =>
  typeof value === "string" && value.length <= maxNameLength;

/** Whether a value is a finite number from 0 on. */
export const isAmount = (value: unknown): value is number =>
  typeof value === "number" && Number.isFinite(value) && value >= 0;
