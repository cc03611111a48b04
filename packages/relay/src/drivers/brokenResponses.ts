/** Responses that end before their last byte was sent, and the side that ended them. */

import type { ServerResponse } from "node:http";
import { now, type Timestamp } from "@cardamomglade/common";
import { Severity, type Log } from "@cardamomglade/observe";
import type { DecisionContext } from "../decisions/commands.js";
import type { ReplicaProtocol } from "../types.js";
import { requestIdOf } from "./requestIdOf.js";

/** Which side closed a connection. */
enum Closer {
  Caller = "caller",
  Relay = "relay",
}

/** Broken responses of one server. */
export class BrokenResponses {
  /** Why the relay broke responses off itself. */
  private readonly reasons = new WeakMap<ServerResponse, string>();

  private constructor(
    private readonly protocol: ReplicaProtocol,
    private readonly log: Log<DecisionContext>,
  ) {}

  static create(
    protocol: ReplicaProtocol,
    log: Log<DecisionContext>,
  ): BrokenResponses {
    return new BrokenResponses(protocol, log);
  }

  /** Notes why the relay will break a response off. */
  note(res: ServerResponse, why: string): void {
    this.reasons.set(res, why);
  }

  /** Ends a response without its end, and its connection. */
  breakOff(res: ServerResponse, why: string): void {
    this.note(res, why);
    res.destroy();
  }

  /** Logs a response whose connection was closed too early. */
  logUnfinished(res: ServerResponse, arrivedAt: Timestamp): void {
    const why = this.reasons.get(res);
    const severity = why === undefined ? Severity.Info : Severity.Warn;
    this.log(severity, "connection closed before the answer was sent", {
      requestId: requestIdOf(this.protocol, res.req),
      closedBy: why === undefined ? Closer.Caller : Closer.Relay,
      reason: why ?? "the caller closed it",
      headSent: res.headersSent,
      tookMs: Math.round(now() - arrivedAt),
    });
  }
}
