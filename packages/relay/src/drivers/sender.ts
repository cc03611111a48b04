/** Senders of requests. */

/** Who sends requests to a server. */
export enum Sender {
  Callers = "callers",
  /** Routers, which hand on what their callers sent. */
  Routers = "routers",
}
