/**
 * How long what still arrives after a refusal is read and dropped. A connection that is
 * closed with unread bytes is reset, and the reset takes the refusal away from a caller
 * that has not read it yet.
 */

/** Longest time that a refused caller's bytes are dropped for. */
export const maxDropMs = 2000;

/** Bytes that are dropped at most. */
export const maxDroppedBytes = 16 * 1024 * 1024;
