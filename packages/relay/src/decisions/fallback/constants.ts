/** Times of attempts that stay open while another replica is asked. */

/**
 * Time for which a silent attempt at a plain replica stays open once another one is
 * connected: a full replica refuses within it, and two work on one request no longer.
 */
export const maxOverlapMs = 100;

/** Pause before a silent attempt is left again after the others refused; it doubles each time. */
export const minSeekPauseMs = 500;

/** Longest of these pauses. */
export const maxSeekPauseMs = 1000;
