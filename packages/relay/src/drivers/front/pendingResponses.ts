/** Responses to requests that were read whole, until they are decided. */

import type { ServerResponse } from "node:http";
import type { Timestamp } from "@cardamomglade/common";
import type { BrokenResponses } from "../brokenResponses.js";
import type { RequestMemory } from "../memory/requestMemory.js";
import type { UnreadEvents } from "../memory/unreadEvents.js";

/** A response whose end has not been decided. */
export interface PendingResponse {
  readonly res: ServerResponse;
  readonly arrivedAt: Timestamp;
  readonly memory: RequestMemory;
  /** Undefined before the first event of a stream. */
  events: UnreadEvents | undefined;
}

/** Pending responses of one server, by the keys of their requests. */
export class PendingResponses {
  private readonly pending = new Map<string, PendingResponse>();

  private constructor(
    private readonly broken: BrokenResponses,
    private readonly onDisconnected: (key: string) => void,
  ) {}

  /** Reports responses whose callers left before their end. */
  static create(
    broken: BrokenResponses,
    onDisconnected: (key: string) => void,
  ): PendingResponses {
    return new PendingResponses(broken, onDisconnected);
  }

  add(
    key: string,
    res: ServerResponse,
    arrivedAt: Timestamp,
    memory: RequestMemory,
  ): void {
    this.pending.set(key, { res, arrivedAt, memory, events: undefined });
    let isSent = false;
    res.on("finish", () => {
      isSent = !res.req.socket.destroyed; // Node emits it for failed writes as well
    });
    res.on("close", () => {
      if (!isSent) this.broken.logUnfinished(res, arrivedAt);
      if (this.pending.delete(key)) this.onDisconnected(key);
    });
  }

  find(key: string): PendingResponse | undefined {
    return this.pending.get(key);
  }

  /** Removes one whose end is decided. */
  take(key: string): PendingResponse | undefined {
    const found = this.pending.get(key);
    this.pending.delete(key);
    return found;
  }

  /** Notes why the responses that are left will be broken off. */
  noteAll(why: string): void {
    for (const { res } of this.pending.values()) this.broken.note(res, why);
  }
}
