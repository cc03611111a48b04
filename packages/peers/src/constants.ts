/** Bounds of links. */

/** Largest message; a configuration of a megabyte fits. */
export const maxMessageBytes = 2 * 1024 * 1024;

/** Bytes that may wait in one link's send buffer. */
export const maxBufferedBytes = 4 * 1024 * 1024;

/** Connections that may be open without proof at once. */
export const maxUnprovenLinks = 128;

/** Time in which a connection proves itself or is closed. */
export const handshakeTimeoutMs = 2000;

/** Interval of keep-alive pings on a link. */
export const pingEveryMs = 4000;

/** Silence after which a link is closed. */
export const silenceLimitMs = 10_000;

/** Backoff between two dials of one address. */
export const dialBackoff = { baseMs: 200, maxMs: 5000 };
