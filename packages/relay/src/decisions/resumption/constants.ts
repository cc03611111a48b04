/** Pauses before streams that make no progress are sent again. */

/** Pause after the second attempt in a row that delivered nothing at one replica; it doubles with each further one. */
export const minResumptionPauseMs = 250;

/** Longest of these pauses. */
export const maxResumptionPauseMs = 1000;
