/** Limits of the links between routers. */

/** Maximum message size; it leaves room for a configuration of 1 MB. */
export const maxMessageBytes = 2 * 1024 * 1024;

/** Maximum number of bytes in the send buffer of a link. */
export const maxBufferedBytes = 4 * 1024 * 1024;

/** Maximum number of open connections that are not authenticated yet. */
export const maxUnauthenticatedLinks = 128;

/** Time within which a connection has to authenticate; after it the connection is closed. */
export const handshakeTimeoutMs = 2000;

/** Interval of keep-alive pings on a link. */
export const pingIntervalMs = 4000;

/** Time without any received message or pong after which a link is closed. */
export const idleTimeoutMs = 10_000;

/** Backoff between two connection attempts to an address. */
export const dialBackoff = { baseMs: 200, maxMs: 5000 };
