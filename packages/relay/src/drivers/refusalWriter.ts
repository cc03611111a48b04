/** Writes refusals to callers, and to routers that handed a request on. */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Severity, type Log } from "@cardamomglade/observe";
import type { DecisionContext } from "../decisions/commands.js";
import { HandoverRefusal } from "../decisions/handover/types.js";
import { noRoomRetryAfterMs } from "../decisions/memory/constants.js";
import { Counter, type RelayMetrics } from "../metrics.js";
import { serviceUnavailableStatus, type ReplicaProtocol } from "../types.js";
import { dropHead } from "./dropHead.js";
import { finishUnread } from "./finishUnread.js";
import { handoverHeaders } from "./handover/handoverHeaders.js";
import type { OpenConnections } from "./openConnections.js";
import { requestIdOf } from "./requestIdOf.js";
import { Sender } from "./sender.js";

/** A refusal. */
export interface Refusal {
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs?: number | undefined;
  /** Why another router's request is not taken over. */
  readonly handoverRefusal?: HandoverRefusal | undefined;
}

/** Options of a writer. */
export interface RefusalWriterOptions {
  readonly sender: Sender;
  readonly protocol: ReplicaProtocol;
  readonly metrics: RelayMetrics;
  readonly log: Log<DecisionContext>;
  readonly connections: OpenConnections;
  /** Whether a response closes its connection. */
  readonly closesAfter: (res: ServerResponse) => boolean;
}

/** A request that a relay refuses with one of these may have been executed. */
const unknownOutcomeStatuses: ReadonlySet<number> = new Set([502, 504]);

/** Headers with which another router learns that its request was not executed here, and why. */
const refusalHeaders = (
  { headers: { notExecuted } }: ReplicaProtocol,
  status: number,
  refusal: HandoverRefusal | undefined,
): Readonly<Record<string, string>> => ({
  ...(!unknownOutcomeStatuses.has(status) && { [notExecuted]: "1" }),
  ...(refusal !== undefined && { [handoverHeaders.refusal]: refusal }),
});

const noRoomReason = "memory is short";

const drawNoRoomRetryMs = (): number => {
  const { min, max } = noRoomRetryAfterMs;
  return min + Math.random() * (max - min);
};

const retryAfterOf = (retryMs: number): string => (retryMs / 1000).toFixed(3);

/** Writes the refusals of one server. */
export class RefusalWriter {
  private constructor(private readonly options: RefusalWriterOptions) {}

  static create(options: RefusalWriterOptions): RefusalWriter {
    return new RefusalWriter(options);
  }

  /** Refuses a request; what still arrives of it is read and dropped. */
  write(
    res: ServerResponse,
    { status, reason, retryAfterMs, handoverRefusal }: Refusal,
  ): void {
    const { sender, protocol, connections, closesAfter } = this.options;
    const body = JSON.stringify({ error: reason });
    if (closesAfter(res)) connections.closeAfter(res);
    if (retryAfterMs !== undefined)
      res.setHeader("retry-after", retryAfterOf(retryAfterMs));
    res.writeHead(status, {
      ...(sender === Sender.Routers &&
        refusalHeaders(protocol, status, handoverRefusal)),
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    });
    res.write(body);
    finishUnread(res);
  }

  /** Counts and logs the refusal of a request that was not read. */
  record(status: number, reason: string, requestId?: string): void {
    const { metrics, log } = this.options;
    metrics.count(Counter.Refusals);
    log(Severity.Info, "request refused unread", { requestId, status, reason });
  }

  /** Refuses a request that was not read, and closes its connection. */
  rejectUnread(res: ServerResponse, refusal: Refusal): void {
    const { protocol, connections } = this.options;
    const requestId = requestIdOf(protocol, res.req);
    this.record(refusal.status, refusal.reason, requestId);
    connections.closeAfter(res);
    this.write(res, refusal);
    dropHead(res.req);
  }

  /** Refuses a request because memory is short. */
  rejectForMemory(res: ServerResponse): void {
    this.options.metrics.count(Counter.MemoryRefusals);
    this.rejectUnread(res, {
      status: serviceUnavailableStatus,
      reason: noRoomReason,
      retryAfterMs: drawNoRoomRetryMs(),
      handoverRefusal: HandoverRefusal.NoRoom,
    });
  }
  /** Refuses a head that has not ended, because memory is short: its bytes are freed with the connection. */
  rejectHead(socket: Socket): void {
    const { sender, protocol, metrics } = this.options;
    metrics.count(Counter.MemoryRefusals);
    this.record(serviceUnavailableStatus, noRoomReason);
    const headers = {
      "retry-after": retryAfterOf(drawNoRoomRetryMs()),
      ...(sender === Sender.Routers &&
        refusalHeaders(
          protocol,
          serviceUnavailableStatus,
          HandoverRefusal.NoRoom,
        )),
      "content-length": "0",
      connection: "close",
    };
    const lines = [
      `HTTP/1.1 ${String(serviceUnavailableStatus)} Service Unavailable`,
      ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    ];
    socket.write(`${lines.join("\r\n")}\r\n\r\n`);
    socket.destroySoon();
  }
}
